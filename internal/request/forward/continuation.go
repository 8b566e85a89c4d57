package forward

import (
	"bytes"
	"fmt"
	"mime"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/target/upstream"
)

const (
	// streamType is the media type of a streamed answer.
	streamType = "text/event-stream"
	// chunkedLength is the content length that the HTTP library reports for a chunked body.
	chunkedLength = -1
)

// errNotInStream reports that a body has text that is no part of the stream.
var errNotInStream = errors.New("body has text that is no part of the stream")

// checkContinuation returns an error unless the answer of another instance may continue a
// stream, as far as its header tells.
func checkContinuation(resp *upstream.Response, hasSignature func(h *fasthttp.ResponseHeader) bool) error {
	h := resp.Header()
	if resp.Status() != fasthttp.StatusOK || !hasSignature(h) {
		return fmt.Errorf("target answered %d when the stream was resumed", resp.Status())
	}
	mediaType, _, err := mime.ParseMediaType(string(h.ContentType()))
	if err != nil || mediaType != streamType || len(h.ContentEncoding()) > 0 {
		return fmt.Errorf("target answered with type %q and encoding %q when the stream was resumed", h.ContentType(), h.ContentEncoding())
	}
	return nil
}

// checkEvent returns an error for text that is no event, where a target may have written an
// error in place of events: in the rest of a stream that was resumed, and in a body that ends
// with its connection. The rest of a stream has nothing but numbered events and comments.
func (s *source) checkEvent(event []byte, numbered bool) error {
	if !s.continues && s.resp.HasExplicitEnd() {
		return nil
	}
	comment := true
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if !isEventLine(line) {
			return fmt.Errorf("%w: %.40q", errNotInStream, line)
		}
		comment = comment && (len(line) == 0 || line[0] == ':')
	}
	if s.continues && !numbered && !comment {
		return fmt.Errorf("%w: %.40q", errNotInStream, event)
	}
	return nil
}

// isEventLine reports whether the line is empty, a comment or a field with a lower-case name.
func isEventLine(line []byte) bool {
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found {
		return len(line) == 0
	}
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}
