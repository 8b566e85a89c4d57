package runner

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"rosevalve/internal/protocol/chat"
)

const (
	maxEventSize      = 1 << 20
	initialEventSpace = 512
)

var (
	dataPrefix     = []byte("data:")
	idPrefix       = []byte(`{"id":"`)
	errorPrefix    = []byte(`{"error"`)
	contentField   = []byte(`"content":`)
	reasoningField = []byte(`"reasoning_content":`)
	toolField      = []byte(`"tool_calls":`)
	finishField    = []byte(`"finish_reason":`)
	usageField     = []byte(`"usage":`)
)

// Event is one event of an engine's stream.
type Event struct {
	// Data is the event's payload.
	Data []byte
	// Usage is set on the event that reports it.
	Usage *chat.Usage
	// Done is set on the last event.
	Done bool

	text, finish bool
}

// NewEvent returns the event with the payload.
func NewEvent(data []byte) Event {
	return Event{Data: data, text: hasText(data), finish: hasFinish(data)}
}

// Text reports whether the event carries a token of the answer.
func (e Event) Text() bool { return e.text }

// Finish reports whether the event tells why the answer ends.
func (e Event) Finish() bool { return e.finish }

func hasText(data []byte) bool {
	for _, field := range [][]byte{contentField, reasoningField} {
		value := fieldValue(data, field)
		if len(value) > 1 && value[0] == '"' && value[1] != '"' {
			return true
		}
	}
	tools := fieldValue(data, toolField)
	return len(tools) > 1 && tools[0] == '[' && tools[1] != ']'
}

func hasFinish(data []byte) bool {
	value := fieldValue(data, finishField)
	return len(value) > 0 && value[0] == '"'
}

// AnswerID returns the id of the answer that the event belongs to, if it begins with it.
func (e Event) AnswerID() []byte {
	rest, ok := bytes.CutPrefix(e.Data, idPrefix)
	if !ok {
		return nil
	}
	end := bytes.IndexByte(rest, '"')
	return rest[:max(end, 0)]
}

// fieldValue returns what follows the first field of that name.
//
// Quotes inside JSON strings are escaped, so that text cannot look like a field.
func fieldValue(data, field []byte) []byte {
	i := bytes.Index(data, field)
	if i < 0 {
		return nil
	}
	return bytes.TrimLeft(data[i+len(field):], " ")
}

// reportedError is an error that arrived in place of an event.
type reportedError struct{ data []byte }

func (e *reportedError) Error() string { return fmt.Sprintf("stream reports %.200s", e.data) }

// ReadEvents parses a stream of events and hands each to sink, until the last.
func ReadEvents(r io.Reader, sink func(Event) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, initialEventSpace), maxEventSize)
	for scanner.Scan() {
		line := scanner.Bytes()
		if !bytes.HasPrefix(line, dataPrefix) {
			continue
		}
		ev, err := parseEvent(bytes.TrimPrefix(line[len(dataPrefix):], []byte(" ")))
		if err != nil {
			return err
		}
		if err := sink(ev); err != nil {
			return err
		}
		if ev.Done {
			return nil
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read stream: %w", err)
	}
	return fmt.Errorf("read stream: %w", io.ErrUnexpectedEOF)
}

func parseEvent(data []byte) (Event, error) {
	if string(data) == chat.DoneEvent {
		return Event{Data: bytes.Clone(data), Done: true}, nil
	}
	if !json.Valid(data) {
		return Event{}, fmt.Errorf("event %.80q is not JSON", data)
	}
	if bytes.HasPrefix(data, errorPrefix) {
		return Event{}, &reportedError{data: bytes.Clone(data)}
	}
	ev := NewEvent(bytes.Clone(data))
	usage := fieldValue(data, usageField)
	if len(usage) == 0 || usage[0] != '{' {
		return ev, nil
	}
	var chunk chat.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Event{}, fmt.Errorf("decode event: %w", err)
	}
	if chunk.Usage == nil {
		return Event{}, errors.New("event has no usage")
	}
	ev.Usage = chunk.Usage
	return ev, nil
}
