package gateway

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestWrongInput(t *testing.T) {
	const completions = "/v1/chat/completions"
	valid := completionBody("a")
	with := func(field string) string { return strings.Replace(valid, "{", "{"+field+",", 1) }
	tests := map[string]struct {
		path    string
		body    string
		headers []string
		status  int
		param   string
	}{
		"no JSON":             {completions, "{", nil, 400, "body"},
		"JSON of other kind":  {completions, "[]", nil, 400, "body"},
		"empty":               {completions, "", nil, 400, "body"},
		"null":                {completions, "null", nil, 400, "model"},
		"no model":            {completions, `{"messages":[]}`, nil, 400, "model"},
		"unknown model":       {completions, strings.Replace(valid, `"m"`, `"x"`, 1), nil, 404, "model"},
		"no messages":         {completions, `{"model":"m","messages":[]}`, nil, 400, "messages"},
		"wrong type":          {completions, `{"model":"m","messages":"a"}`, nil, 400, "messages"},
		"other spelling":      {completions, with(`"Messages":[]`), nil, 400, "Messages"},
		"negative max_tokens": {completions, strings.Replace(valid, ":5", ":-5", 1), nil, 400, "max_tokens"},
		"absurd max_tokens":   {completions, strings.Replace(valid, ":5", ":101", 1), nil, 400, "max_tokens"},
		"fraction":            {completions, strings.Replace(valid, ":5", ":0.5", 1), nil, 400, "max_tokens"},
		"both limits":         {completions, with(`"max_completion_tokens":0`), nil, 400, "max_completion_tokens"},
		"several answers":     {completions, with(`"n":2`), nil, 400, "n"},
		"bad priority":        {completions, with(`"priority":"soon"`), nil, 400, "priority"},
		"no workspace key":    {completions, valid, []string{"Authorization", ""}, 401, "Authorization"},
		"wrong workspace key": {completions, valid, []string{"Authorization", "Bearer x"}, 401, "Authorization"},
		"long key":            {completions, valid, []string{HeaderKey, strings.Repeat("a", 300)}, 400, HeaderKey},
		"key with slash":      {completions, valid, []string{HeaderKey, "a/b"}, 400, HeaderKey},
		"bad deadline":        {completions, valid, []string{HeaderDeadline, "soon"}, 400, HeaderDeadline},
		"negative deadline":   {completions, valid, []string{HeaderDeadline, "-1"}, 400, HeaderDeadline},
		"unknown budget":      {completions, valid, []string{HeaderBudget, "x"}, 404, HeaderBudget},
		"reused key":          {completions, completionBody("other"), []string{HeaderKey, "used"}, 422, HeaderKey},
		"unknown service":     {"/v1/services/x/hold", "{}", nil, 404, "service"},
		"reused call key":     {"/v1/services/beds/hold", "{}", []string{HeaderKey, "used"}, 422, HeaderKey},
		"unknown path":        {"/v1/x", "{}", nil, 404, "path"},
	}
	withTestFleet(t, 1, func(t *testing.T, fleet *testFleet) {
		n := fleet.nodes[0]
		assert.Equal(t, n.send(completions, valid, HeaderKey, "used").status, 200)
		for name, test := range tests {
			r := n.send(test.path, test.body, test.headers...)
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, test.status, "%s: %s", name, r.body)
			errBody := r.errorBody().Error
			assert.Equal(t, errBody.Param, test.param, "%s: %s", name, r.body)
			assert.Equal(t, errBody.Run, "not_run", name)
		}
		assert.NilError(t, n.tokens.Settle(context.Background()))
		assert.Equal(t, len(fleet.bills(t)), 1)
		for _, book := range n.tokens.State() {
			assert.Equal(t, book.Reserved, int64(0))
		}
	})
}
