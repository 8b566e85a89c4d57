package answer

import (
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/httpjson"
)

// Send writes the error as the response to the request, with the status, the
// Retry-After header and the JSON body.
func (e *Error) Send(ctx *fasthttp.RequestCtx, requestID string) {
	ctx.SetStatusCode(e.Status)
	ctx.SetContentType(httpjson.ContentType)
	if retryAfter := e.RetryAfterHeader(); retryAfter != "" {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfter)
	}
	ctx.SetBody(e.JSON(requestID))
}
