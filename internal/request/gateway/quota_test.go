package gateway

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rosevalve/internal/protocol/chat"
	"rosevalve/internal/workspace/catalogue"
	"rosevalve/internal/workspace/quota"
)

// configure replaces the workspace, as the configuration would.
func (n *node) configure(t *testing.T, value catalogue.Workspace) {
	t.Helper()
	value.Name, value.Weight = "care", 1
	value.KeyHashes = []string{catalogue.HashKey("secret")}
	n.change(t, item("workspace", "care", value))
}

// change brings a change of configuration into force at the router.
func (n *node) change(t *testing.T, changed catalogue.Item) {
	t.Helper()
	c := &catalogue.Catalogue{Commit: n.commit, Get: n.get, Scan: n.scan}
	ctx := context.Background()
	assert.NilError(t, c.Refresh(ctx))
	change := catalogue.Change{CommandID: "limit", Items: []catalogue.Item{changed}}
	_, err := c.Accept(ctx, c.Current().Version(), change)
	assert.NilError(t, err)
	assert.NilError(t, c.Refresh(ctx))
	n.gateway.Snapshot = c.Current
}

// checkRefusal sends two requests, of which the second must be refused at once, and
// comes back when it is told to.
func checkRefusal(w *world, n *node, path string) error {
	first := n.send(path, completionBody("a"))
	began := time.Now()
	second := n.send(path, completionBody("b"))
	refused := second.refusal().Error
	switch {
	case first.status != 200:
		return fmt.Errorf("first: %d %s", first.status, first.body)
	case second.status != 429 || refused.Code != "rate_limited" || refused.Run != "not_run":
		return fmt.Errorf("second: %d %s", second.status, second.body)
	case time.Since(began) != 0:
		return fmt.Errorf("refused after %v", time.Since(began))
	}
	// A call is answered before its reservation becomes a bill.
	synctest.Wait()
	if err := n.purse.Settle(context.Background()); err != nil {
		return err
	}
	for _, b := range n.purse.State() {
		if b.Reserved != 0 {
			return fmt.Errorf("%d tokens are reserved", b.Reserved)
		}
	}
	after, err := strconv.Atoi(second.header("Retry-After"))
	if err != nil {
		return err
	}
	time.Sleep(time.Duration(after) * time.Second)
	if third := n.send(path, completionBody("b")); third.status != 200 {
		return fmt.Errorf("back after %d s: %d %s", after, third.status, third.body)
	}
	synctest.Wait()
	return n.purse.Settle(context.Background())
}

func TestWorkspaceRate(t *testing.T) {
	limits := map[string]catalogue.Workspace{
		"requests": {RequestsPerMinute: 6},
		"tokens":   {TokensPerMinute: 6},
	}
	paths := map[string]string{"completion": chat.PathCompletions, "call": "/v1/services/beds/hold"}
	for limit, value := range limits {
		for kind, path := range paths {
			t.Run(kind+" over "+limit, func(t *testing.T) {
				inWorld(t, 1, func(t *testing.T, w *world) {
					n := w.nodes[0]
					n.configure(t, value)
					n.gateway.Quota = &quota.Quota{Routers: func() int { return 1 }}
					assert.NilError(t, checkRefusal(w, n, path))
					assert.Equal(t, len(w.bills(t)), 2)
				})
			})
			t.Run(kind+" over "+limit+" without mechanism", func(t *testing.T) {
				inWorld(t, 1, func(t *testing.T, w *world) {
					n := w.nodes[0]
					n.configure(t, value)
					assert.ErrorContains(t, checkRefusal(w, n, path), "second: 200")
				})
			})
		}
	}
}

func TestWorkspaceConcurrency(t *testing.T) {
	inWorld(t, 1, func(t *testing.T, w *world) {
		n := w.nodes[0]
		n.configure(t, catalogue.Workspace{MaxConcurrent: 1})
		n.gateway.Quota = &quota.Quota{Routers: func() int { return 1 }}
		long := make(chan reply)
		go func() { long <- n.send(chat.PathCompletions, completionBody("a")) }()
		time.Sleep(testInterval)
		refused := n.send(chat.PathCompletions, completionBody("b"))
		assert.Equal(t, refused.status, 429, "%s", refused.body)
		assert.Equal(t, refused.header("Retry-After"), "1")
		assert.Equal(t, (<-long).status, 200)
		assert.Equal(t, n.send(chat.PathCompletions, completionBody("b")).status, 200)
	})
}

// assertTokensBounded sends a request for more tokens than allowed, and one that names no number.
func assertTokensBounded(t *testing.T, n *node) {
	t.Helper()
	r := n.send(chat.PathCompletions, completionBody("a"))
	assert.Equal(t, r.status, 400)
	assert.Equal(t, r.refusal().Error.Param, "max_tokens")
	unset := strings.Replace(completionBody("a"), `"max_tokens":5,`, "", 1)
	assert.Equal(t, n.send(chat.PathCompletions, unset).status, 200)
}

func TestMaxTokens(t *testing.T) {
	t.Run("of the workspace", func(t *testing.T) {
		inWorld(t, 1, func(t *testing.T, w *world) {
			w.nodes[0].configure(t, catalogue.Workspace{MaxTokens: testTokens - 1})
			assertTokensBounded(t, w.nodes[0])
		})
	})
	t.Run("of the model", func(t *testing.T) {
		inWorld(t, 1, func(t *testing.T, w *world) {
			w.nodes[0].change(t, item("model", "m", catalogue.Model{Name: "m", MaxTokens: testTokens - 1}))
			assertTokensBounded(t, w.nodes[0])
		})
	})
	t.Run("without bounds", func(t *testing.T) {
		inWorld(t, 1, func(t *testing.T, w *world) {
			assert.Equal(t, w.nodes[0].send(chat.PathCompletions, completionBody("a")).status, 200)
		})
	})
}
