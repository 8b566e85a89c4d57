package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// Log is the saved output of one process or of several.
type Log struct {
	// Name names the machine of lines that do not begin with their machine's name.
	Name string
	// Lines holds the output. What is not a line of an event is left out.
	Lines io.Reader
}

// line is one line of a log.
type line struct {
	machine string
	at      time.Time // by the machine's clock
	event   string
	text    string // from the first brace on
	fields  map[string]any
}

// str returns a field as text, or nothing.
func (l line) str(name string) string {
	switch v := l.fields[name].(type) {
	case string:
		return v
	case json.Number:
		return v.String()
	default:
		return ""
	}
}

// num returns a field as a number, or 0 if it is none.
func (l line) num(name string) int64 {
	n, ok := l.fields[name].(json.Number)
	if !ok {
		return 0
	}
	v, err := n.Int64()
	if err != nil {
		return 0
	}
	return v
}

// read hands each event of a log to take, in order.
func (g Log) read(take func(line)) error {
	scanner := bufio.NewScanner(g.Lines)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		if l, ok := parse(g.Name, scanner.Text()); ok {
			take(l)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read log %q: %w", g.Name, err)
	}
	return nil
}

// parse reads a line. What stands before the first brace may end with a machine's name.
func parse(machine, text string) (line, bool) {
	begin := strings.IndexByte(text, '{')
	if begin < 0 {
		return line{}, false
	}
	if words := strings.Fields(text[:begin]); len(words) > 0 {
		machine = words[len(words)-1]
	}
	l := line{machine: machine, text: text[begin:]}
	decoder := json.NewDecoder(strings.NewReader(l.text))
	decoder.UseNumber()
	if err := decoder.Decode(&l.fields); err != nil {
		return line{}, false
	}
	l.event = l.str("msg")
	at, err := time.Parse(time.RFC3339Nano, l.str("time"))
	l.at = at
	return l, err == nil && l.event != ""
}
