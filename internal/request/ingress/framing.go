package ingress

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// framing is how a body is delimited.
type framing struct {
	length  int // if it is not chunked
	chunked bool
}

var (
	errTwoLengths = errors.New("body has two lengths, or one and is chunked")
	// errFolded reports a line that continues a field. Intermediaries may read it as a field of its own.
	errFolded = errors.New("field of the header continues in another line")
)

// framingOf returns how the body of a request is delimited. The HTTP library was told that it has none. Intermediaries may
// have read two lengths differently.
func framingOf(h *fasthttp.RequestHeader) (framing, error) {
	var out framing
	lengths, encodings := 0, 0
	for line := range bytes.Lines(h.RawHeaders()) {
		if line[0] == ' ' || line[0] == '\t' {
			return framing{}, errFolded
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if len(name) < len(fasthttp.HeaderContentLength) {
			continue
		}
		name = bytes.TrimRight(name, " \t")
		switch {
		case bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength)):
			n, err := fasthttp.ParseUint(bytes.TrimSpace(value))
			if err != nil {
				return framing{}, errors.New("length of the body is not a number")
			}
			out.length = n
			lengths++
		case bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)):
			out.chunked = bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked"))
			encodings++
		}
	}
	if lengths+encodings > 1 {
		return framing{}, errTwoLengths
	}
	if encodings == 1 && !out.chunked {
		return framing{}, errors.New("encoding of the body is unknown")
	}
	return out, nil
}
