package answer

import (
	"github.com/valyala/fasthttp"

	"rosevalve/internal/protocol/httpjson"
)

// Send makes the error the answer to the request.
func (e *Error) Send(ctx *fasthttp.RequestCtx, requestID string) {
	ctx.SetStatusCode(e.Status)
	ctx.SetContentType(httpjson.ContentType)
	if after := e.RetryAfterHeader(); after != "" {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, after)
	}
	ctx.SetBody(e.JSON(requestID))
}
