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
	maxKeyLength = 200 // bytes
	// tokensPerMessage bounds the tokens that an engine's chat template adds to a message.
	tokensPerMessage = 8
	// bytesPerToken is the typical length of a token in a prompt.
	bytesPerToken = 4
	bearerPrefix  = "Bearer "
)

// Limits bound the completion tokens of a request.
type Limits struct {
	// MaxTokens is the largest number of completion tokens that a request may set.
	MaxTokens int64
	// DefaultTokens is the maximum number of completion tokens of a request that sets none.
	DefaultTokens int64
}

// narrow returns the limits reduced to those of the workspace and the model.
func (l Limits) narrow(s *catalogue.Snapshot, w catalogue.Workspace, model string) Limits {
	m, _ := s.Model(model)
	for _, bound := range []int64{w.MaxTokens, m.MaxTokens} {
		if bound > 0 {
			l.MaxTokens = min(l.MaxTokens, bound)
		}
	}
	l.DefaultTokens = min(l.DefaultTokens, l.MaxTokens)
	return l
}

// Request is a validated completion request.
type Request struct {
	workspace     catalogue.Workspace
	model         string
	maxPrompt     int64 // upper bound of the prompt, in tokens
	maxCompletion int64 // requested or default maximum, in tokens
	stream        bool
	includeUsage  bool
	urgent        bool
	body          []byte // as sent to the engine
	bodyHash      uint64
	prefix        uint64
	sharedParts   []uint64
}

// Workspace returns the workspace that is charged for the request.
func (r *Request) Workspace() catalogue.Workspace { return r.workspace }

// Model returns the name of the requested model.
func (r *Request) Model() string { return r.model }

// MaxTotalTokens returns the maximum number of tokens, prompt and completion, that the
// request can use.
func (r *Request) MaxTotalTokens() int64 { return r.maxPrompt + r.maxCompletion }

// MaxCompletionTokens returns the maximum number of tokens of the completion.
func (r *Request) MaxCompletionTokens() int64 { return r.maxCompletion }

// MaxPromptTokens returns the maximum number of tokens that the prompt can have.
func (r *Request) MaxPromptTokens() int64 { return r.maxPrompt }

// ExpectedTokens returns the number of tokens that the request is unlikely to exceed:
// the typical number for a prompt of its length and the maximum of the completion.
func (r *Request) ExpectedTokens() int64 { return r.maxPrompt/bytesPerToken + r.maxCompletion }

// PrefixHash returns the hash of the beginning of the prompt, or zero for a short prompt.
func (r *Request) PrefixHash() uint64 { return r.prefix }

// SharedParts returns the ids of the parts of the prompt that other requests may share.
func (r *Request) SharedParts() []uint64 { return r.sharedParts }

// Stream reports whether the caller has requested a streamed answer.
func (r *Request) Stream() bool { return r.stream }

// IncludeUsage reports whether the caller has requested the usage at the end of a stream.
func (r *Request) IncludeUsage() bool { return r.includeUsage }

// Urgent reports whether the request's priority is urgent, which is the default.
func (r *Request) Urgent() bool { return r.urgent }

// Body returns the body to send to the engine: the caller's body, changed to request
// a stream, the usage and an explicit maximum of completion tokens.
func (r *Request) Body() []byte { return r.body }

// BodyHash returns the hash of the caller's body.
func (r *Request) BodyHash() uint64 { return r.bodyHash }

// Authenticate returns the workspace whose key is in the Authorization header.
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

// ValidateIdempotencyKey validates an idempotency key: at most maxKeyLength bytes, and no
// slashes, spaces or tabs.
func ValidateIdempotencyKey(key string) *answer.Error {
	if len(key) > maxKeyLength {
		return answer.Invalid(fasthttp.StatusBadRequest, "Idempotency-Key", "idempotency key has %d bytes; at most %d are allowed", len(key), maxKeyLength)
	}
	if strings.ContainsAny(key, "/ \t") {
		return answer.Invalid(fasthttp.StatusBadRequest, "Idempotency-Key", "idempotency key %q contains a slash or a space", key)
	}
	return nil
}

// ParseCompletion validates a completion request of the workspace against the configuration
// and the limits.
func ParseCompletion(s *catalogue.Snapshot, w catalogue.Workspace, body []byte, limits Limits) (*Request, *answer.Error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, answer.Invalid(fasthttp.StatusBadRequest, "body", "body is not a completion request: %v", err)
	}
	in, refusal := decode(fields, body)
	if refusal != nil {
		return nil, refusal
	}
	limits = limits.narrow(s, w, in.Model)
	if refusal := validate(s, in, limits); refusal != nil {
		return nil, refusal
	}
	r := &Request{
		workspace:     w,
		model:         in.Model,
		maxPrompt:     maxPromptTokens(in, body),
		maxCompletion: maxCompletionTokens(in, limits),
		stream:        in.Stream,
		includeUsage:  in.StreamOptions != nil && in.StreamOptions.IncludeUsage,
		urgent:        in.Priority != chat.PriorityLong,
		bodyHash:      HashBody(body),
		prefix:        chat.PrefixHash(in.Messages),
		sharedParts:   chat.SharedParts(in.Messages),
	}
	engineBody, err := encodeForEngine(fields, r.maxCompletion)
	if err != nil {
		return nil, answer.Invalid(fasthttp.StatusBadRequest, "body", "body is not a completion request: %v", err)
	}
	r.body = engineBody
	return r, nil
}

// HashBody returns the 64-bit FNV-1a hash of a body.
func HashBody(body []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(body)
	return h.Sum64()
}

// validate checks the decoded fields against the configuration and the limits.
func validate(s *catalogue.Snapshot, in chat.Request, limits Limits) *answer.Error {
	switch {
	case in.Model == "":
		return answer.Invalid(fasthttp.StatusBadRequest, "model", "field \"model\" is missing")
	case !s.ServesModel(in.Model):
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

// maxPromptTokens returns an upper bound of the prompt's tokens. The engine sees the
// whole body at most, and a token covers at least one byte of it.
func maxPromptTokens(in chat.Request, body []byte) int64 {
	return int64(len(body) + len(in.Messages)*tokensPerMessage)
}

// maxCompletionTokens returns the maximum of completion tokens: max_completion_tokens,
// else max_tokens, else the default.
func maxCompletionTokens(in chat.Request, limits Limits) int64 {
	if in.MaxCompletionTokens != nil {
		return *in.MaxCompletionTokens
	}
	if in.MaxTokens != nil {
		return *in.MaxTokens
	}
	return limits.DefaultTokens
}

// recognizedFields lists the fields that rosevalve reads.
var recognizedFields = []string{"model", "messages", "max_tokens", "max_completion_tokens", "n", "stream", "stream_options", "priority", "tools"}

// decode decodes the fields that rosevalve reads. It refuses names that differ from
// them in case only: encoding/json ignores case but engines don't, so the two could
// read different values.
func decode(fields map[string]json.RawMessage, body []byte) (chat.Request, *answer.Error) {
	var in chat.Request
	for name := range fields {
		for _, k := range recognizedFields {
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

// encodeForEngine encodes the body for the engine. It sets the fields that rosevalve
// relies on and keeps all others.
func encodeForEngine(fields map[string]json.RawMessage, maxTokens int64) ([]byte, error) {
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
