package answer

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"time"
)

//go:generate ../../../bin/stringer -type=RunState -linecomment

// RunState is the known state of a request's execution at a target.
type RunState int

// NotRun means that the request certainly did not run, Ran that it ran, and Unknown
// that it may have run.
const (
	NotRun  RunState = iota // not_run
	Unknown                 // unknown
	Ran                     // ran
)

// MarshalText encodes the state as its name.
func (s RunState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes the name of a state. Other names are errors.
func (s *RunState) UnmarshalText(text []byte) error {
	for _, state := range []RunState{NotRun, Unknown, Ran} {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return fmt.Errorf("run state %q does not exist", text)
}

// Error is the final answer to a request that failed or was refused.
type Error struct {
	// Status is the HTTP status.
	Status int
	// Code is a stable, machine-readable error code.
	Code string
	// Message is a human-readable description.
	Message string
	// Param is the name of the invalid field or header of the request, or empty.
	Param string
	// Run is the known state of the request's execution at a target.
	Run RunState
	// RetryAfter is the time after which the caller may retry; zero means that a retry is of no use.
	RetryAfter time.Duration
}

// Error returns the message with the code and the run state.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s, %s)", e.Message, e.Code, e.Run)
}

// WithRun returns a copy of the error with the run state.
func (e *Error) WithRun(state RunState) *Error {
	out := *e
	out.Run = state
	return &out
}

// Invalid returns the error for a request with an invalid field or header, with the
// code invalid_request.
func Invalid(status int, param, format string, args ...any) *Error {
	return Refused(status, "invalid_request", param, format, args...)
}

// Refused returns the error for a request that is refused permanently, with the code
// as the reason.
func Refused(status int, code, param, format string, args ...any) *Error {
	return &Error{
		Status:  status,
		Code:    code,
		Message: fmt.Sprintf(format, args...),
		Param:   param,
	}
}

// Retryable returns the error for a request that did not run and may be retried after
// retryAfter.
func Retryable(status int, code string, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{
		Status:     status,
		Code:       code,
		Message:    fmt.Sprintf(format, args...),
		RetryAfter: retryAfter,
	}
}

// wireError is the JSON encoding of an Error.
type wireError struct {
	Error wireDetail `json:"error"`
	// Status is the HTTP status, included here because an error within a stream
	// can't set the status of the response.
	Status int `json:"status"`
}

// wireDetail is the error object of the API.
type wireDetail struct {
	Message     string   `json:"message"`
	Type        string   `json:"type"`
	Param       *string  `json:"param"`
	Code        string   `json:"code"`
	Run         RunState `json:"run"`
	RetryAfterS int64    `json:"retry_after_s,omitempty"`
	RequestID   string   `json:"request_id"`
}

// RetryAfterSeconds returns RetryAfter in whole seconds, rounded up.
func (e *Error) RetryAfterSeconds() int64 {
	return int64(math.Ceil(e.RetryAfter.Seconds()))
}

// RetryAfterHeader returns the value of the Retry-After header, or "" if the
// response has no such header.
func (e *Error) RetryAfterHeader() string {
	if e.RetryAfter <= 0 {
		return ""
	}
	return strconv.FormatInt(e.RetryAfterSeconds(), 10)
}

// JSON encodes the error as the API's error object, with the id of the request.
func (e *Error) JSON(requestID string) []byte {
	d := wireDetail{
		Message:     e.Message,
		Type:        e.errorType(),
		Code:        e.Code,
		Run:         e.Run,
		RetryAfterS: e.RetryAfterSeconds(),
		RequestID:   requestID,
	}
	if e.Param != "" {
		d.Param = &e.Param
	}
	b, err := json.Marshal(wireError{Error: d, Status: e.Status})
	if err != nil {
		return []byte(`{"error":{"message":"internal error","run":"unknown"}}`)
	}
	return b
}

// Parse decodes an error that the JSON method has encoded.
func Parse(data []byte) (*Error, error) {
	var w wireError
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, fmt.Errorf("decode error: %w", err)
	}
	e := &Error{
		Status:     w.Status,
		Code:       w.Error.Code,
		Message:    w.Error.Message,
		Run:        w.Error.Run,
		RetryAfter: time.Duration(w.Error.RetryAfterS) * time.Second,
	}
	if w.Error.Param != nil {
		e.Param = *w.Error.Param
	}
	return e, nil
}

// errorType returns the API's error type for the HTTP status.
func (e *Error) errorType() string {
	switch {
	case e.Status == 401 || e.Status == 403:
		return "authentication_error"
	case e.Status == 429:
		return "rate_limit_error"
	case e.Status >= 500:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}
