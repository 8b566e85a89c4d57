package router

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"rosevalve/internal/platform/object"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/platform/vmlist"
	"rosevalve/internal/standin/fault"
)

const narrowRate = 200_000 // bytes per second

// TestLargeAnswersOfThePlatformOverANarrowLink guards against calls of the platform that can never succeed, since what they
// transfer needs longer than a call may take.
func TestLargeAnswersOfThePlatformOverANarrowLink(t *testing.T) {
	const size = 600_000 // three seconds of each subtest alone, at two seconds a call
	value, err := json.Marshal(strings.Repeat("x", size))
	assert.NilError(t, err)
	var stored atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc("/table/scan", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(table.RowsResponse{Rows: []table.Row{{Location: table.Location{Key: "a"}, Version: 1, Value: value}}})
	})
	mux.HandleFunc("/vms", func(w http.ResponseWriter, _ *http.Request) {
		var vms []string
		for n := range size / 60 {
			vms = append(vms, fmt.Sprintf(`{"addr":"10.%d.%d.1","failure_domain":"a domain with a longer name"}`, n/250%250, n%250))
		}
		_, _ = io.WriteString(w, `{"vms":[`+strings.Join(vms, ",")+`]}`)
	})
	mux.HandleFunc("/objects/", func(_ http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		stored.Store(n)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	link, err := fault.StartLink(server.Listener.Addr().String(), narrowRate)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = link.Close() })
	addr := link.Addr()
	client := newPlatformHTTP()
	t.Cleanup(client.CloseIdleConnections)
	t.Run("scan", func(t *testing.T) {
		t.Parallel()
		rows, err := (&table.Client{Addr: addr, HTTP: client}).Scan(context.Background(), "", "", 1)
		assert.NilError(t, err)
		assert.Equal(t, len(rows), 1)
	})
	t.Run("VM list", func(t *testing.T) {
		t.Parallel()
		vms, err := (&vmlist.Client{Addr: addr, HTTP: client}).List(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, len(vms), size/60)
	})
	t.Run("object", func(t *testing.T) {
		t.Parallel()
		assert.NilError(t, (&object.Client{Addr: addr, HTTP: client}).Put(context.Background(), "a", make([]byte, size)))
		assert.Equal(t, stored.Load(), int64(size))
	})
}

// TestPlatformAnswerWithoutEnd guards against an answer that goes on for ever and fills the memory.
func TestPlatformAnswerWithoutEnd(t *testing.T) {
	for _, length := range []string{"", strconv.Itoa(1 << 40)} {
		t.Run("length "+length, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				for r.Context().Err() == nil {
					if _, err := io.WriteString(w, strings.Repeat("x", 1<<16)); err != nil {
						return
					}
				}
			}))
			t.Cleanup(server.Close)
			client := newPlatformHTTP()
			_, _, err := client.GetDeadline(nil, server.URL, time.Now().Add(2*time.Second))
			assert.ErrorIs(t, err, fasthttp.ErrBodyTooLarge)
		})
	}
}
