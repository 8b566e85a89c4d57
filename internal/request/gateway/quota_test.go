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

// setWorkspace replaces the configuration of the workspace with value, whose name, weight
// and key it sets.
func (n *node) setWorkspace(t *testing.T, value catalogue.Workspace) {
	t.Helper()
	value.Name, value.Weight = "care", 1
	value.KeyHashes = []string{catalogue.HashKey("secret")}
	n.applyConfigChange(t, item("workspace", "care", value))
}

// applyConfigChange stores the changed item and makes the router use it.
func (n *node) applyConfigChange(t *testing.T, changed catalogue.Item) {
	t.Helper()
	configuration := &catalogue.Catalogue{Commit: n.commit, Get: n.get, Scan: n.scan}
	ctx := context.Background()
	assert.NilError(t, configuration.Refresh(ctx))
	change := catalogue.Change{CommandID: "limit", Items: []catalogue.Item{changed}}
	_, err := configuration.Accept(ctx, configuration.Current().Version(), change)
	assert.NilError(t, err)
	assert.NilError(t, configuration.Refresh(ctx))
	n.gateway.Snapshot = configuration.Current
}

// checkRateLimited sends two requests, of which the second must be refused at once, and
// retries the second after its Retry-After, when it must succeed.
func checkRateLimited(fleet *testFleet, n *node, path string) error {
	first := n.send(path, completionBody("a"))
	start := time.Now()
	second := n.send(path, completionBody("b"))
	errBody := second.errorBody().Error
	switch {
	case first.status != 200:
		return fmt.Errorf("first: %d %s", first.status, first.body)
	case second.status != 429 || errBody.Code != "rate_limited" || errBody.Run != "not_run":
		return fmt.Errorf("second: %d %s", second.status, second.body)
	case time.Since(start) != 0:
		return fmt.Errorf("refused after %v", time.Since(start))
	}
	// A call is answered before it is billed.
	synctest.Wait()
	if err := n.tokens.Settle(context.Background()); err != nil {
		return err
	}
	for _, b := range n.tokens.State() {
		if b.Reserved != 0 {
			return fmt.Errorf("%d tokens are reserved", b.Reserved)
		}
	}
	retryAfter, err := strconv.Atoi(second.header("Retry-After"))
	if err != nil {
		return err
	}
	time.Sleep(time.Duration(retryAfter) * time.Second)
	if third := n.send(path, completionBody("b")); third.status != 200 {
		return fmt.Errorf("second again after %d s: %d %s", retryAfter, third.status, third.body)
	}
	synctest.Wait()
	return n.tokens.Settle(context.Background())
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
				withTestFleet(t, 1, func(t *testing.T, fleet *testFleet) {
					n := fleet.nodes[0]
					n.setWorkspace(t, value)
					n.gateway.Quota = &quota.Limiter{Routers: func() int { return 1 }}
					assert.NilError(t, checkRateLimited(fleet, n, path))
					assert.Equal(t, len(fleet.bills(t)), 2)
				})
			})
			t.Run(kind+" over "+limit+" without mechanism", func(t *testing.T) {
				withTestFleet(t, 1, func(t *testing.T, fleet *testFleet) {
					n := fleet.nodes[0]
					n.setWorkspace(t, value)
					assert.ErrorContains(t, checkRateLimited(fleet, n, path), "second: 200")
				})
			})
		}
	}
}

func TestWorkspaceConcurrency(t *testing.T) {
	withTestFleet(t, 1, func(t *testing.T, fleet *testFleet) {
		n := fleet.nodes[0]
		n.setWorkspace(t, catalogue.Workspace{MaxConcurrent: 1})
		n.gateway.Quota = &quota.Limiter{Routers: func() int { return 1 }}
		first := make(chan reply)
		go func() { first <- n.send(chat.PathCompletions, completionBody("a")) }()
		time.Sleep(testInterval)
		second := n.send(chat.PathCompletions, completionBody("b"))
		assert.Equal(t, second.status, 429, "%s", second.body)
		assert.Equal(t, second.header("Retry-After"), "1")
		assert.Equal(t, (<-first).status, 200)
		assert.Equal(t, n.send(chat.PathCompletions, completionBody("b")).status, 200)
	})
}

// assertTokenLimit checks that a request for more tokens than allowed is refused, and that
// one without max_tokens succeeds.
func assertTokenLimit(t *testing.T, n *node) {
	t.Helper()
	r := n.send(chat.PathCompletions, completionBody("a"))
	assert.Equal(t, r.status, 400)
	assert.Equal(t, r.errorBody().Error.Param, "max_tokens")
	noLimit := strings.Replace(completionBody("a"), `"max_tokens":5,`, "", 1)
	assert.Equal(t, n.send(chat.PathCompletions, noLimit).status, 200)
}

func TestMaxTokens(t *testing.T) {
	t.Run("of the workspace", func(t *testing.T) {
		withTestFleet(t, 1, func(t *testing.T, fleet *testFleet) {
			fleet.nodes[0].setWorkspace(t, catalogue.Workspace{MaxTokens: testTokens - 1})
			assertTokenLimit(t, fleet.nodes[0])
		})
	})
	t.Run("of the model", func(t *testing.T) {
		withTestFleet(t, 1, func(t *testing.T, fleet *testFleet) {
			fleet.nodes[0].applyConfigChange(t, item("model", "m", catalogue.Model{Name: "m", MaxTokens: testTokens - 1}))
			assertTokenLimit(t, fleet.nodes[0])
		})
	})
	t.Run("without bounds", func(t *testing.T) {
		withTestFleet(t, 1, func(t *testing.T, fleet *testFleet) {
			assert.Equal(t, fleet.nodes[0].send(chat.PathCompletions, completionBody("a")).status, 200)
		})
	})
}
