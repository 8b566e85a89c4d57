package fault

import "fmt"

// Head is the head of an answer.
type Head struct {
	name       string
	statusLine string
	fields     string // with their line ends
	framed     bool   // the fields say how the body ends
}

// Name returns what is special about the head.
func (h Head) Name() string { return h.name }

// Answer returns an answer with the head, to which it adds the fields, each with its line end, and the body.
func (h Head) Answer(fields, body string) string {
	fields = h.fields + fields
	if !h.framed {
		fields += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return h.statusLine + "\r\n" + fields + "\r\n" + body
}

// okLine is the status line of a success.
const okLine = "HTTP/1.1 200 OK"

// BrokenHeads returns heads that are no heads of HTTP/1.1, so that the bytes behind them are no answer.
func BrokenHeads() []Head {
	out := brokenStatusLines()
	out = append(out, brokenFields()...)
	return append(out,
		Head{name: "chunks in HTTP/1.0", statusLine: "HTTP/1.0 200 OK", fields: "Transfer-Encoding: chunked\r\n", framed: true},
		Head{name: "chunks in HTTP/1.2", statusLine: "HTTP/1.2 200 OK", fields: "transfer-encoding: chunked\r\n", framed: true},
		Head{name: "space in a name of an interim answer", statusLine: "HTTP/1.1 103 Early Hints\r\nA B: c\r\n\r\n" + okLine},
		Head{name: "interim answer with status 000", statusLine: "HTTP/1.1 000 X\r\n\r\n" + okLine},
		Head{name: "status 000 behind an interim answer", statusLine: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK"},
	)
}

// brokenStatusLines returns heads whose status line is broken.
func brokenStatusLines() []Head {
	var out []Head
	for _, status := range []string{"000", "001", "020", "099", "600", "999", "20", "2000", "2x0", "+20", "-20", ""} {
		out = append(out, Head{name: fmt.Sprintf("status %q", status), statusLine: "HTTP/1.1 " + status + " OK"})
	}
	for name, line := range map[string]string{
		"two spaces before the status":     "HTTP/1.1  200 OK",
		"tab before the status":            "HTTP/1.1\t200 OK",
		"control byte in the reason":       "HTTP/1.1 200 O\x01K",
		"carriage return in the reason":    "HTTP/1.1 200 OK\rX: y",
		"HTTP/2.0":                         "HTTP/2.0 200 OK",
		"HTTP/0.9":                         "HTTP/0.9 200 OK",
		"no version":                       "HTTP 200 OK",
		"another protocol":                 "ICY 200 OK",
		"empty line before the status":     "\r\n" + okLine,
		"nothing but a version":            "HTTP/1.1",
		"line feed before the status line": "\n" + okLine,
	} {
		out = append(out, Head{name: name, statusLine: line})
	}
	return out
}

// brokenFields returns heads one of whose fields is broken.
func brokenFields() []Head {
	var out []Head
	for name, field := range map[string]string{
		"space in a name":                  "X Y: z",
		"space before a colon":             "X-Y : z",
		"spaces before a colon":            "X-Y   : z",
		"tab before a colon":               "X-Y\t: z",
		"tab in a name":                    "X\tY: z",
		"zero byte in a name":              "X\x00Y: z",
		"control byte in a name":           "X\x1fY: z",
		"carriage return in a name":        "X\rY: z",
		"delete byte in a name":            "X\x7fY: z",
		"byte above ASCII in a name":       "X\x80Y: z",
		"separator in a name":              "X(Y): z",
		"empty name":                       ": z",
		"only a space for a name":          " : z",
		"no colon":                         "XY",
		"zero byte in a value":             "X: a\x00b",
		"control byte in a value":          "X: a\x1fb",
		"delete byte in a value":           "X: a\x7fb",
		"carriage return in a value":       "X: a\rb",
		"control byte in a folded value":   "X: a\r\n b\x01",
		"space in a name behind a fold":    "X: a\r\n b\r\nY Z: c",
		"space in a name behind a newline": "X: a\nY Z: c",
	} {
		out = append(out, Head{name: name, statusLine: okLine, fields: field + "\r\n"})
	}
	return append(out,
		Head{name: "space before the colon of a length", statusLine: okLine, fields: "Content-Length : 1\r\n", framed: true},
		Head{name: "space in the name of a length", statusLine: okLine, fields: "Content- Length: 1\r\n", framed: true},
		Head{name: "space before the colon of chunks", statusLine: okLine, fields: "Transfer-Encoding : chunked\r\n", framed: true},
		Head{name: "control byte before the colon of a length", statusLine: okLine, fields: "Content-Length\x01: 1\r\n", framed: true},
	)
}

// SoundHeads returns unusual heads of successes that are sound all the same.
func SoundHeads() []Head {
	out := []Head{
		{name: "empty reason", statusLine: "HTTP/1.1 200 "},
		{name: "no reason", statusLine: "HTTP/1.1 200"},
		{name: "bytes above ASCII in the reason", statusLine: "HTTP/1.1 200 \xc3\xa9\x80\tOK"},
		{name: "HTTP/1.0", statusLine: "HTTP/1.0 200 OK"},
		{name: "interim answers", statusLine: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + okLine},
	}
	for name, field := range map[string]string{
		"every byte of a token in a name": "!#$%&'*+-.^_`|~09azAZ: x",
		"bytes above ASCII in a value":    "X: \x80\xff",
		"tab in a value":                  "X: a\tb",
		"spaces around a value":           "X: \t a \t",
		"no space before a value":         "X:a",
		"empty value":                     "X:",
		"folded value":                    "X: a\r\n\tb",
		"newline without carriage return": "X: a\nY: b",
	} {
		out = append(out, Head{name: name, statusLine: okLine, fields: field + "\r\n"})
	}
	return out
}
