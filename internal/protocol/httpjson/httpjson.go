package httpjson

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// ContentType is the media type of the answers.
const ContentType = "application/json"

// Write answers with the status and the JSON encoding of v, or with status 500 if v cannot be
// encoded.
func Write(ctx *fasthttp.RequestCtx, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.Error("internal error", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType(ContentType)
	ctx.SetBody(b)
}

// Read decodes the JSON body of the request into v and reports whether it succeeded. If not, it
// answers with status 400 and the cause.
func Read(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}
