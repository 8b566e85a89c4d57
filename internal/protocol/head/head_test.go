package head

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rosevalve/internal/standin/fault"
)

// sources are the ways in which the bytes of an answer arrive.
func sources() map[string]func(text string) io.Reader {
	return map[string]func(text string) io.Reader{
		"at once":                  func(text string) io.Reader { return strings.NewReader(text) },
		"byte by byte":             func(text string) io.Reader { return iotest.OneByteReader(strings.NewReader(text)) },
		"in halves":                func(text string) io.Reader { return iotest.HalfReader(strings.NewReader(text)) },
		"with the end of the data": func(text string) io.Reader { return iotest.DataErrReader(strings.NewReader(text)) },
	}
}

// readAll reads an answer of which the first bytes have been read before the head was expected.
func readAll(text string, buffered int, source func(string) io.Reader) (string, error) {
	r := &Reader{R: source(text[buffered:])}
	if err := r.Expect([]byte(text[:buffered])); err != nil {
		return "", err
	}
	rest, err := io.ReadAll(r)
	return text[:buffered] + string(rest), err
}

// assertIncomplete checks that the HTTP library finds no whole answer in text.
func assertIncomplete(t *testing.T, text string) {
	t.Helper()
	var resp fasthttp.Response
	assert.Assert(t, resp.Read(bufio.NewReader(strings.NewReader(text))) != nil, "the library reads %q", text)
}

// TestBrokenHeads guards against a head that is no head of HTTP/1 reaching the library whole.
func TestBrokenHeads(t *testing.T) {
	for _, h := range fault.BrokenHeads() {
		for name, source := range sources() {
			t.Run(h.Name()+"/"+name, func(t *testing.T) {
				text := h.Answer("X-Id: a\r\n", "x")
				for buffered := range len(text) {
					got, err := readAll(text, buffered, source)
					assert.ErrorIs(t, err, ErrMalformed)
					assertIncomplete(t, got)
				}
			})
		}
	}
}

// TestSoundHeads checks that sound answers pass unchanged, however they arrive.
func TestSoundHeads(t *testing.T) {
	for _, h := range fault.SoundHeads() {
		for name, source := range sources() {
			t.Run(h.Name()+"/"+name, func(t *testing.T) {
				text := h.Answer("X-Id: a\r\n", "HTTP/1.1 000 a body is not checked\r\nX Y: z\r\n\r\n")
				for buffered := range len(text) {
					got, err := readAll(text, buffered, source)
					assert.NilError(t, err)
					assert.Equal(t, got, text)
				}
			})
		}
	}
}

// TestHeadsBehindEachOther checks that each head is checked which is expected, and that a malformed one stays an error until
// the next one is expected.
func TestHeadsBehindEachOther(t *testing.T) {
	const sound, broken = "HTTP/1.1 204 X\r\n\r\n", "HTTP/1.1 000 X\r\n\r\n"
	in := strings.NewReader("")
	r := &Reader{R: in}
	read := func(text string) (string, error) {
		in.Reset(text)
		assert.NilError(t, r.Expect(nil))
		got, err := io.ReadAll(r)
		return string(got), err
	}
	for range 2 {
		got, err := read(sound)
		assert.NilError(t, err)
		assert.Equal(t, got, sound)
		_, err = read(broken)
		assert.ErrorIs(t, err, ErrMalformed)
		_, err = r.Read(make([]byte, 1))
		assert.ErrorIs(t, err, ErrMalformed)
	}
}

// TestConnExpectsAHeadAfterEachRequest checks that a connection checks the head of each answer and no body.
func TestConnExpectsAHeadAfterEachRequest(t *testing.T) {
	own, other := net.Pipe()
	defer func() { _ = own.Close() }()
	answers := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nHTTP/1.1 000 X\r\n\r\n..",
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
	}
	go func() {
		br := bufio.NewReader(other)
		for _, text := range answers {
			if _, err := br.ReadString('\n'); err != nil {
				return
			}
			_, _ = io.WriteString(other, text)
		}
		_ = other.Close()
	}()
	c := &Conn{Conn: own}
	_, err := io.WriteString(c, "GET / HTTP/1.1\n")
	assert.NilError(t, err)
	got := make([]byte, len(answers[0]))
	_, err = io.ReadFull(c, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), answers[0])
	_, err = io.WriteString(c, "GET / HTTP/1.1\n")
	assert.NilError(t, err)
	_, err = io.ReadAll(c)
	assert.ErrorIs(t, err, ErrMalformed)
}

// TestLibraryNamesTheCause checks that the error of the HTTP library wraps the cause rather than the end of the data.
func TestLibraryNamesTheCause(t *testing.T) {
	for name, text := range map[string]string{
		"status": "HTTP/1.1 000 OK\r\n\r\n",
		"field":  "HTTP/1.1 200 OK\r\nX Y: z\r\n\r\n",
		"end":    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r := &Reader{R: strings.NewReader(text)}
			assert.NilError(t, r.Expect(nil))
			var resp fasthttp.Response
			assert.ErrorIs(t, resp.Read(bufio.NewReader(r)), ErrMalformed)
		})
	}
}
