package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

// maxLineBytes is the longest line of a log that can be read.
const maxLineBytes = 1 << 20

// Log is the saved output of one process or of several.
type Log struct {
	// Name is the name of the VM for lines that have no VM name in front of their JSON.
	Name string
	// Lines is the output. Lines that are not JSON events are skipped.
	Lines io.Reader
}

// line is one event of a log.
type line struct {
	vm     string    // name of the VM that wrote the line
	at     time.Time // by the clock of the VM
	event  string
	text   string         // the line from its first brace on
	fields map[string]any // the decoded JSON, with numbers as json.Number
}

// str returns a string or number field as text, or "" if there is no such field.
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

// num returns an integer field, or 0 if there is no such field.
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

// read calls visit for each event of the log, in order.
func (log Log) read(visit func(line)) error {
	scanner := bufio.NewScanner(log.Lines)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(log.Name, scanner.Text()); ok {
			visit(l)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read log %q: %w", log.Name, err)
	}
	return nil
}

// parseLine parses one line and reports whether it is an event. The last word before the
// first brace, if there is one, is the name of the VM and replaces vm.
func parseLine(vm, text string) (line, bool) {
	brace := strings.IndexByte(text, '{')
	if brace < 0 {
		return line{}, false
	}
	if words := strings.Fields(text[:brace]); len(words) > 0 {
		vm = words[len(words)-1]
	}
	l := line{vm: vm, text: text[brace:]}
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
