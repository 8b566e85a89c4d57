package admission

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/request/answer"
	"rosevalve/internal/workspace/catalogue"
)

const (
	maxKeyLength = 200
	// tokensPerMessage covers the tokens with which an engine frames a message.
	tokensPerMessage = 8
	// bytesPerToken is the usual length of a token.
	bytesPerToken = 4
	bearerPrefix  = "Bearer "
)

// Limits bound what a request may ask for.
type Limits struct {
	// MaxTokens is the largest number of completion tokens, and the default.
	MaxTokens int64
	// DefaultTokens is the number of completion tokens if the request gives none.
	DefaultTokens int64
}

// Request is a checked completion request.
type Request struct {
	workspace catalogue.Workspace
	model     string
	prompt    int64
	max       int64
	stream    bool
	usage     bool
	urgent    bool
	body      []byte
	bodyHash  uint64
	prefix    uint64
}

// Workspace returns the workspace that pays.
func (r *Request) Workspace() catalogue.Workspace { return r.workspace }

// Model returns the model's name.
func (r *Request) Model() string { return r.model }

// WorstCase returns the most tokens that the request can use.
func (r *Request) WorstCase() int64 { return r.prompt + r.max }

// WorstPrompt returns the most tokens that the prompt can have.
func (r *Request) WorstPrompt() int64 { return r.prompt }

// ExpectedTokens returns what the request is likely to use at most.
func (r *Request) ExpectedTokens() int64 { return r.prompt/bytesPerToken + r.max }

// Prefix identifies the beginning of the prompt, or is zero if it is short.
func (r *Request) Prefix() uint64 { return r.prefix }

// Stream reports whether the caller wants the answer as a stream.
func (r *Request) Stream() bool { return r.stream }

// IncludeUsage reports whether a stream ends with the usage.
func (r *Request) IncludeUsage() bool { return r.usage }

// Urgent reports whether the request goes before long work.
func (r *Request) Urgent() bool { return r.urgent }

// Body returns the body for the engine: the caller's, but streamed, with usage and with explicit limits.
func (r *Request) Body() []byte { return r.body }

// BodyHash identifies the caller's body.
func (r *Request) BodyHash() uint64 { return r.bodyHash }

// Authenticate returns the workspace whose key the caller has sent.
func Authenticate(s *catalogue.Snapshot, header []byte) (catalogue.Workspace, *answer.Error) {
	key, ok := strings.CutPrefix(string(header), bearerPrefix)
	if !ok {
		return catalogue.Workspace{}, answer.Invalid(fasthttp.StatusUnauthorized, "Authorization", "header Authorization with \"Bearer\" and a workspace key is missing")
	}
	w, ok := s.WorkspaceByKey(key)
	if !ok {
		return catalogue.Workspace{}, answer.Invalid(fasthttp.StatusUnauthorized, "Authorization", "workspace key is not valid")
	}
	return w, nil
}

// CheckKey checks an idempotency key that the caller has sent.
func CheckKey(key string) *answer.Error {
	if len(key) > maxKeyLength {
		return answer.Invalid(fasthttp.StatusBadRequest, "Idempotency-Key", "idempotency key has %d bytes; at most %d are allowed", len(key), maxKeyLength)
	}
	if strings.ContainsAny(key, "/ \t") {
		return answer.Invalid(fasthttp.StatusBadRequest, "Idempotency-Key", "idempotency key %q contains a slash or a space", key)
	}
	return nil
}

// Parse checks a completion request of the workspace.
func Parse(s *catalogue.Snapshot, w catalogue.Workspace, body []byte, limits Limits) (*Request, *answer.Error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, answer.Invalid(fasthttp.StatusBadRequest, "body", "body is not a completion request: %v", err)
	}
	in, fail := decode(fields, body)
	if fail != nil {
		return nil, fail
	}
	if fail := check(s, in, limits); fail != nil {
		return nil, fail
	}
	r := &Request{
		workspace: w,
		model:     in.Model,
		prompt:    worstPrompt(in, body),
		max:       completionTokens(in, limits),
		stream:    in.Stream,
		usage:     in.StreamOptions != nil && in.StreamOptions.IncludeUsage,
		urgent:    in.Priority != chat.PriorityLong,
		bodyHash:  Hash(body),
		prefix:    chat.PrefixHash(in.Messages),
	}
	engineBody, err := rewrite(fields, r.max)
	if err != nil {
		return nil, answer.Invalid(fasthttp.StatusBadRequest, "body", "body is not a completion request: %v", err)
	}
	r.body = engineBody
	return r, nil
}

// Hash identifies a body.
func Hash(body []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(body)
	return h.Sum64()
}

func check(s *catalogue.Snapshot, in chat.Request, limits Limits) *answer.Error {
	switch {
	case in.Model == "":
		return answer.Invalid(fasthttp.StatusBadRequest, "model", "field \"model\" is missing")
	case !s.HasModel(in.Model):
		return answer.Invalid(fasthttp.StatusNotFound, "model", "model %q does not exist", in.Model)
	case len(in.Messages) == 0:
		return answer.Invalid(fasthttp.StatusBadRequest, "messages", "field \"messages\" is empty")
	case in.N != nil && *in.N != 1:
		return answer.Invalid(fasthttp.StatusBadRequest, "n", "field \"n\" is %d; only 1 is allowed", *in.N)
	}
	for _, f := range []struct {
		name  string
		value *int64
	}{{"max_tokens", in.MaxTokens}, {"max_completion_tokens", in.MaxCompletionTokens}} {
		if f.value != nil && (*f.value < 1 || *f.value > limits.MaxTokens) {
			return answer.Invalid(fasthttp.StatusBadRequest, f.name, "field %q is %d; 1 to %d are allowed", f.name, *f.value, limits.MaxTokens)
		}
	}
	switch in.Priority {
	case "", chat.PriorityUrgent, chat.PriorityLong:
		return nil
	default:
		return answer.Invalid(fasthttp.StatusBadRequest, "priority", "field \"priority\" is %q; %q and %q are allowed", in.Priority, chat.PriorityUrgent, chat.PriorityLong)
	}
}

// worstPrompt bounds the prompt's tokens: a token covers at least one byte of
// what the engine sees, which is all of the body.
func worstPrompt(in chat.Request, body []byte) int64 {
	return int64(len(body) + len(in.Messages)*tokensPerMessage)
}

func completionTokens(in chat.Request, limits Limits) int64 {
	if in.MaxCompletionTokens != nil {
		return *in.MaxCompletionTokens
	}
	if in.MaxTokens != nil {
		return *in.MaxTokens
	}
	return limits.DefaultTokens
}

// known are the fields that the system reads.
var known = []string{"model", "messages", "max_tokens", "max_completion_tokens", "n", "stream", "stream_options", "priority", "tools"}

// decode reads the fields that the system relies on. The JSON library takes names
// without regard to case, but engines don't, so that other spellings are refused.
func decode(fields map[string]json.RawMessage, body []byte) (chat.Request, *answer.Error) {
	var in chat.Request
	for name := range fields {
		for _, k := range known {
			if name != k && strings.EqualFold(name, k) {
				return in, answer.Invalid(fasthttp.StatusBadRequest, name, "field %q must be written %q", name, k)
			}
		}
	}
	err := json.Unmarshal(body, &in)
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrongType):
		name, _, _ := strings.Cut(wrongType.Field, ".")
		return in, answer.Invalid(fasthttp.StatusBadRequest, name, "field %q has a value of the wrong kind: %s", wrongType.Field, wrongType.Value)
	case err != nil:
		return in, answer.Invalid(fasthttp.StatusBadRequest, "body", "body is not a completion request: %v", err)
	}
	return in, nil
}

// rewrite sets the fields that the system relies on and keeps all others.
func rewrite(fields map[string]json.RawMessage, maxTokens int64) ([]byte, error) {
	if fields == nil {
		return nil, errors.New("body is null")
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["max_tokens"] = json.RawMessage(strconv.FormatInt(maxTokens, 10))
	delete(fields, "max_completion_tokens")
	out, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("encode body: %w", err)
	}
	return out, nil
}
