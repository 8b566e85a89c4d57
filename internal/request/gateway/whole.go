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

// whole waits for the end of the run and sends one answer.
func (g *Gateway) whole(ctx *fasthttp.RequestCtx, run *register.Run) {
	r := reader{conn: ctx.Conn(), run: run}
	events, fail, err := r.all()
	if err != nil {
		return
	}
	if fail != nil {
		g.fail(ctx, run.ID(), fail)
		return
	}
	completion, err := assemble(run.Log().Usage(), events)
	if err != nil {
		g.fail(ctx, run.ID(), &answer.Error{Status: fasthttp.StatusBadGateway, Code: "bad_answer", Message: "the target's answer could not be read", Run: answer.Ran})
		g.Log.Error("assemble answer", "request_id", run.ID(), "err", err)
		return
	}
	httpjson.Write(ctx, fasthttp.StatusOK, completion)
}

// assemble joins the events of a stream to one answer.
func assemble(usage []byte, events [][]byte) (chat.Completion, error) {
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
			choice.Message.ToolCalls = joinToolCalls(choice.Message.ToolCalls, part.Delta.ToolCalls)
			if part.FinishReason != nil {
				choice.FinishReason = *part.FinishReason
			}
		}
	}
	if choice.FinishReason == "" {
		return out, errors.New("no finish reason")
	}
	out.Object = "chat.completion"
	choice.Message.Content = text.String()
	out.Choices = []chat.Choice{choice}
	return out, nil
}

// joinToolCalls adds the parts of tool calls to those that came before.
func joinToolCalls(calls, parts []chat.ToolCall) []chat.ToolCall {
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

// compact joins the text of a whole answer to one event, which a later reader
// gets in place of all of them. Answers with anything but text stay as they are.
func compact(events [][]byte) [][]byte {
	if len(events) < 3 {
		return events
	}
	var joined chat.Chunk
	var text strings.Builder
	last := events[len(events)-1]
	for _, ev := range events[:len(events)-1] {
		var c chat.Chunk
		decoder := json.NewDecoder(bytes.NewReader(ev))
		decoder.DisallowUnknownFields()
		plain := decoder.Decode(&c) == nil && len(c.Choices) == 1 && c.Usage == nil &&
			c.Choices[0].FinishReason == nil && c.Choices[0].Delta.ToolCalls == nil
		if !plain {
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
	return [][]byte{b, last}
}

// usageEvent is the usage of an answer whose engine has not reported it.
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
