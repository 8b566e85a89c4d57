package chat

import "encoding/json"

// Header names between router and engine.
const (
	// HeaderRun carries the run ID; the engine returns it in all its answers, also in those
	// that refuse a request.
	HeaderRun = "X-Run-Id"
	// HeaderOffset carries the number of tokens that the caller of a resumed run already has.
	HeaderOffset = "X-Resume-Offset"
	// HeaderNotRun is set by a target that refuses a request without running it.
	HeaderNotRun = "X-Not-Run"
)

// Priorities of a request.
const (
	PriorityUrgent = "urgent"
	PriorityLong   = "long"
)

// Paths of the API.
const (
	PathCompletions = "/v1/chat/completions"
	PathModels      = "/v1/models"
	// PathRuns is the prefix of the path of a run ID; DELETE cancels the run and returns its usage.
	PathRuns = "/v1/runs/"
)

// DoneEvent is the data of the last event of a stream.
const DoneEvent = "[DONE]"

// Message is one message of a conversation.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Request is the part of a completion request that routers and targets read.
type Request struct {
	Model               string          `json:"model"`
	Messages            []Message       `json:"messages"`
	MaxTokens           *int64          `json:"max_tokens,omitempty"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens,omitempty"`
	N                   *int64          `json:"n,omitempty"`
	Stream              bool            `json:"stream,omitempty"`
	StreamOptions       *StreamOptions  `json:"stream_options,omitempty"`
	Priority            string          `json:"priority,omitempty"`
	Tools               json.RawMessage `json:"tools,omitempty"`
}

// StreamOptions selects what a stream contains besides the answer.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Usage is the number of tokens that a run used.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// ChunkChoice is the part of one choice that an event adds.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the content that an event adds to a message.
type Delta struct {
	Role      string     `json:"role,omitempty"`
	Content   string     `json:"content,omitempty"`
	ToolCalls []ToolCall `json:"tool_calls,omitempty"`
}

// ToolCall is a tool call that the model requests, or a part of one in a stream.
type ToolCall struct {
	Index    int          `json:"index"`
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function ToolFunction `json:"function"`
}

// ToolFunction is the function that a tool call invokes, with its arguments.
type ToolFunction struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

// Completion is an answer that is not streamed.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is one of the alternative answers.
type Choice struct {
	Index        int         `json:"index"`
	Message      TextMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

// TextMessage is a message whose content is a single string.
type TextMessage struct {
	Role      string     `json:"role"`
	Content   string     `json:"content"`
	ToolCalls []ToolCall `json:"tool_calls,omitempty"`
}

// ModelList is the answer to a request for the list of models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one model that a workspace may use.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
