package head

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed reports bytes that are no head of HTTP/1.
var ErrMalformed = errors.New("head of the answer is malformed")

const (
	// minStatus and maxStatus bound the statuses that HTTP has.
	minStatus = 100
	maxStatus = 599
	// statusLen is the length of a status in digits.
	statusLen = 3
	// maxQuoted is how much of a line goes into an error, in bytes.
	maxQuoted = 100

	// protocolPrefix begins a status line; the minor version follows.
	protocolPrefix = "HTTP/1."
)

// scanner checks the head of one answer and the heads of the interim answers before it.
type scanner struct {
	inHead  bool   // what follows belongs to a head
	line    []byte // beginning of a line whose end has not been read
	status  int    // 0 before the status line
	minor   byte   // minor version, a digit
	inField bool   // a field came before, whose value may go on in the next line
	chunked bool   // there is a Transfer-Encoding
}

// scan checks the next bytes. If a line is malformed, it returns the number of bytes before the end of that line: a reader that
// gets no more than these never has a whole head.
func (s *scanner) scan(p []byte) (int, error) {
	for n := 0; s.inHead; {
		end := bytes.IndexByte(p[n:], '\n')
		if end < 0 {
			s.line = append(s.line, p[n:]...)
			break
		}
		line := p[n : n+end]
		if s.line != nil {
			line = append(s.line, line...)
			s.line = nil
		}
		if err := s.checkLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return n + end, err
		}
		n += end + 1
	}
	return len(p), nil
}

// checkLine checks a line without its end.
func (s *scanner) checkLine(line []byte) error {
	switch {
	case s.status == 0:
		return s.checkStatusLine(line)
	case len(line) == 0:
		return s.endHead()
	case line[0] == ' ' || line[0] == '\t':
		return s.checkFold(line)
	default:
		return s.checkField(line)
	}
}

// checkStatusLine checks a line such as "HTTP/1.1 200 OK". The reason may be missing, with the space before it too.
func (s *scanner) checkStatusLine(line []byte) error {
	protocol, rest, _ := strings.Cut(string(line), " ")
	status, reason, _ := strings.Cut(rest, " ")
	minor, ok := strings.CutPrefix(protocol, protocolPrefix)
	if !ok || len(minor) != 1 || !isDigit(minor[0]) {
		return malformed("protocol of the status line", line)
	}
	s.minor = minor[0]
	if s.status = parseStatus(status); s.status < minStatus || s.status > maxStatus {
		return malformed("status of the status line", line)
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return malformed("reason of the status line", line)
	}
	return nil
}

// parseStatus returns the status, or 0 if text is not three digits.
func parseStatus(text string) int {
	if len(text) != statusLen {
		return 0
	}
	status := 0
	for _, c := range []byte(text) {
		if !isDigit(c) {
			return 0
		}
		status = 10*status + int(c-'0')
	}
	return status
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// checkField checks a line such as "Content-Length: 5".
func (s *scanner) checkField(line []byte) error {
	name, value, ok := strings.Cut(string(line), ":")
	if !ok || !httpguts.ValidHeaderFieldName(name) {
		return malformed("name of a field", line)
	}
	if !httpguts.ValidHeaderFieldValue(value) {
		return malformed("value of a field", line)
	}
	s.inField = true
	s.chunked = s.chunked || strings.EqualFold(name, "Transfer-Encoding")
	return nil
}

// checkFold checks a line that continues the value of the field before it.
func (s *scanner) checkFold(line []byte) error {
	if !s.inField {
		return malformed("line that continues no field", line)
	}
	if !httpguts.ValidHeaderFieldValue(string(line)) {
		return malformed("value of a field", line)
	}
	return nil
}

// endHead ends the head, and begins the next one after an interim answer.
func (s *scanner) endHead() error {
	if s.chunked && s.minor != '1' {
		// The library reads no chunks then, and would take their sizes for parts of the body.
		return fmt.Errorf("%w: Transfer-Encoding in HTTP/1.%c", ErrMalformed, s.minor)
	}
	interim := s.status < http.StatusOK && s.status != http.StatusSwitchingProtocols
	*s = scanner{inHead: interim}
	return nil
}

// malformed returns the error of a line.
func malformed(what string, line []byte) error {
	return fmt.Errorf("%w: %s, in %.*q", ErrMalformed, what, maxQuoted, line)
}
