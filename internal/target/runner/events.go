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
	maxEventSize       = 1 << 20
	initialEventBuffer = 512
)

var (
	dataPrefix     = []byte("data:")
	idPrefix       = []byte(`{"id":"`)
	errorPrefix    = []byte(`{"error"`)
	errorField     = []byte(`"error":`)
	nullValue      = []byte("null")
	choicesField   = []byte(`"choices":`)
	contentField   = []byte(`"content":`)
	reasoningField = []byte(`"reasoning_content":`)
	toolCallsField = []byte(`"tool_calls":`)
	finishField    = []byte(`"finish_reason":`)
	usageField     = []byte(`"usage":`)
)

// Event is one event of an engine's stream.
type Event struct {
	// Data is the payload of the event.
	Data []byte
	// Usage is the token usage, or nil if the event does not report it.
	Usage *chat.Usage
	// Done is set on the last event of the stream.
	Done bool

	text, finish, part bool
}

// NewEvent returns an event with the payload, without decoding its usage.
func NewEvent(data []byte) Event {
	return Event{Data: data, text: hasText(data), finish: hasFinish(data), part: isPart(data)}
}

// HasContent reports whether the event carries text, reasoning or tool calls of the answer.
func (e Event) HasContent() bool { return e.text }

// HasFinishReason reports whether the event has the reason why the answer ended.
func (e Event) HasFinishReason() bool { return e.finish }

// IsPart reports whether the event is a part of an answer or the end of one, rather than an error
// or anything else that an engine may send in its place.
func (e Event) IsPart() bool { return e.Done || e.part }

func isPart(data []byte) bool {
	if failure := fieldValue(data, errorField); len(failure) > 0 && !bytes.HasPrefix(failure, nullValue) {
		return false
	}
	choices, usage := fieldValue(data, choicesField), fieldValue(data, usageField)
	return len(choices) > 0 && choices[0] == '[' || len(usage) > 0 && usage[0] == '{'
}

func hasText(data []byte) bool {
	for _, field := range [][]byte{contentField, reasoningField} {
		value := fieldValue(data, field)
		if len(value) > 1 && value[0] == '"' && value[1] != '"' {
			return true
		}
	}
	toolCalls := fieldValue(data, toolCallsField)
	return len(toolCalls) > 1 && toolCalls[0] == '[' && toolCalls[1] != ']'
}

func hasFinish(data []byte) bool {
	value := fieldValue(data, finishField)
	return len(value) > 0 && value[0] == '"'
}

// AnswerID returns the id of the answer that the event belongs to. It is empty unless the
// id is the first field of the payload.
func (e Event) AnswerID() []byte {
	rest, ok := bytes.CutPrefix(e.Data, idPrefix)
	if !ok {
		return nil
	}
	end := bytes.IndexByte(rest, '"')
	return rest[:max(end, 0)]
}

// fieldValue returns the data after the first occurrence of field, which is a quoted name
// with a colon, or nil if there is none.
//
// Quotes inside JSON strings are escaped, so text can't be mistaken for a field.
func fieldValue(data, field []byte) []byte {
	i := bytes.Index(data, field)
	if i < 0 {
		return nil
	}
	return bytes.TrimLeft(data[i+len(field):], " ")
}

// streamError is an error object that the stream contained in place of an event.
type streamError struct{ data []byte }

func (e *streamError) Error() string { return fmt.Sprintf("stream reports %.200s", e.data) }

// ReadEvents parses a stream of server-sent events and passes each to sink, up to and
// including the last one. A stream that ends before its last event is an error.
func ReadEvents(r io.Reader, sink func(Event) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, initialEventBuffer), maxEventSize)
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
		return Event{}, &streamError{data: bytes.Clone(data)}
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
