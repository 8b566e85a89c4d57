package peer

import (
	"context"
	"encoding/json"

	"github.com/alitto/pond/v2"
)

// broadcastCalls bounds the concurrent calls of one broadcast.
const broadcastCalls = 32

// Broadcast calls a method at all addresses and discards the results. It calls onError for each
// call that fails, and returns when all calls have ended.
func (t *Transport) Broadcast(addrs []string, method string, in any, onError func(addr string, err error)) {
	pool := pond.NewPool(broadcastCalls)
	for _, addr := range addrs {
		pool.Submit(func() {
			var discarded json.RawMessage
			if err := t.Call(context.Background(), addr, method, in, &discarded); err != nil {
				onError(addr, err)
			}
		})
	}
	pool.StopAndWait()
}
