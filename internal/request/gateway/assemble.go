package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/protocol/httpjson"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/request/register"
)

// writeCompletion waits for the end of the run and sends its answer as one JSON object.
func (g *Gateway) writeCompletion(ctx *fasthttp.RequestCtx, run *register.Run) {
	r := eventReader{conn: ctx.Conn(), run: run}
	events, apiErr, err := r.readAll()
	if err != nil {
		apiErr = callerGoneError()
	}
	if apiErr != nil {
		g.sendError(ctx, run.ID(), apiErr)
		return
	}
	completion, err := assembleCompletion(run.Log().Usage(), events)
	if err != nil {
		g.sendError(ctx, run.ID(), &answer.Error{Status: fasthttp.StatusBadGateway, Code: "bad_answer", Message: "the target's answer could not be read", Run: answer.Ran})
		g.Log.Error("failed to assemble completion", "request_id", run.ID(), "err", err)
		return
	}
	httpjson.Write(ctx, fasthttp.StatusOK, completion)
}

// assembleCompletion combines the events of a stream and the usage event into one
// completion.
func assembleCompletion(usage []byte, events [][]byte) (chat.Completion, error) {
	var out chat.Completion
	var text strings.Builder
	choice := chat.Choice{Message: chat.TextMessage{Role: "assistant"}}
	for _, ev := range append(events[:len(events):len(events)], usage) {
		var c chat.Chunk
		if err := json.Unmarshal(ev, &c); err != nil {
			return out, fmt.Errorf("decode event: %w", err)
		}
		out.ID, out.Created, out.Model = c.ID, c.Created, c.Model
		if c.Usage != nil {
			out.Usage = *c.Usage
		}
		for _, part := range c.Choices {
			text.WriteString(part.Delta.Content)
			choice.Message.ToolCalls = mergeToolCalls(choice.Message.ToolCalls, part.Delta.ToolCalls)
			if part.FinishReason != nil {
				choice.FinishReason = *part.FinishReason
			}
		}
	}
	if choice.FinishReason == "" {
		return out, errors.New("stream has no finish reason")
	}
	out.Object = "chat.completion"
	choice.Message.Content = text.String()
	out.Choices = []chat.Choice{choice}
	return out, nil
}

// mergeToolCalls appends the deltas in parts to the tool calls with the same index.
func mergeToolCalls(calls, parts []chat.ToolCall) []chat.ToolCall {
	for _, part := range parts {
		i := 0
		for i < len(calls) && calls[i].Index != part.Index {
			i++
		}
		if i == len(calls) {
			calls = append(calls, part)
			continue
		}
		calls[i].Function.Name += part.Function.Name
		calls[i].Function.Arguments += part.Function.Arguments
	}
	return calls
}

// compactEvents joins the text events of a finished answer into one event, which later
// readers receive instead, and keeps the last event. An answer with anything but text
// before its last event is returned unchanged.
func compactEvents(events [][]byte) [][]byte {
	if len(events) < 3 {
		return events
	}
	var joined chat.Chunk
	var text strings.Builder
	lastEvent := events[len(events)-1]
	for _, ev := range events[:len(events)-1] {
		var c chat.Chunk
		decoder := json.NewDecoder(bytes.NewReader(ev))
		decoder.DisallowUnknownFields()
		textOnly := decoder.Decode(&c) == nil && len(c.Choices) == 1 && c.Usage == nil &&
			c.Choices[0].FinishReason == nil && c.Choices[0].Delta.ToolCalls == nil
		if !textOnly {
			return events
		}
		if joined.ID == "" {
			joined = c
		}
		text.WriteString(c.Choices[0].Delta.Content)
	}
	joined.Choices[0].Delta.Content = text.String()
	b, err := json.Marshal(joined)
	if err != nil {
		return events
	}
	return [][]byte{b, lastEvent}
}

// usageEvent returns the usage event of an answer whose engine did not report its usage.
func usageEvent(run *register.Run, model string, usage chat.Usage) []byte {
	b, err := json.Marshal(chat.Chunk{
		ID:      run.ID(),
		Object:  "chat.completion.chunk",
		Created: run.Began().Unix(),
		Model:   model,
		Choices: []chat.ChunkChoice{},
		Usage:   &usage,
	})
	if err != nil {
		return nil
	}
	return b
}
