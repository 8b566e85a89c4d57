package router

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/protocol/socket"
	"rosevalve/internal/request/quarantine"
	"rosevalve/internal/target/crash"
	"rosevalve/internal/workspace/operator"
)

// blockPrefix begins the keys of the quarantine's rows in the table.
const blockPrefix = "quarantine/"

// buildQuarantine builds the component that keeps prompts that crash engines away from them.
func (r *Router) buildQuarantine() {
	r.quarantine = &quarantine.Quarantine{
		Router:      r.id,
		RouterCount: func() int { return len(r.view.Members()) },
		Broadcast:   r.broadcastQuarantineNews,
		Locate:      func(key string) table.Location { return table.Location{Key: blockPrefix + key} },
		Commit:      r.table.Commit,
		OnEvent: func(ev quarantine.Event) {
			r.Log.Warn(ev.Kind.String(), "parts", ev.PartNames(), "model", ev.Record.Service, "crashes", ev.Record.Crashes, "decided_by", ev.Record.Router, "reason", ev.Reason, "err", ev.Err)
		},
	}
	r.blockPoller = &quarantine.Poller{
		Prefix: blockPrefix,
		Scan:   r.table.Scan,
		Apply:  r.quarantine.ApplyRows,

		RouterCount: func() int { return len(r.view.Members()) },
		OnError:     func(err error) { r.Log.Debug("blocks not read", "err", err) },
	}
	r.crashes = &crash.Detector{Refuses: socket.Refuses, OnCrash: r.recordCrash}
	r.peers.Handlers[inner.MethodQuarantine] = r.handleQuarantineNews
}

// recordCrash logs the crash of an engine and passes it on to the quarantine.
func (r *Router) recordCrash(c crash.Crash) {
	r.Log.Warn("engine crashed", "addr", c.Addr, "model", c.Service, "lost_attempts", c.LostAttempts)
	r.quarantine.ObserveCrash(c)
}

// broadcastQuarantineNews sends news to limit random other routers, or to all of them if limit is 0.
func (r *Router) broadcastQuarantineNews(news inner.QuarantineNews, limit int) {
	addrs := r.relayCandidates()
	if limit > 0 {
		addrs = addrs[:min(limit, len(addrs))]
	}
	go r.peers.Broadcast(addrs, inner.MethodQuarantine, news, func(addr string, err error) {
		r.Log.Debug("quarantine news not delivered", "peer", addr, "err", err)
	})
}

// handleQuarantineNews takes over what another router tells about parts of prompts.
func (r *Router) handleQuarantineNews(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.QuarantineNews
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode quarantine news: %w", err)
	}
	r.quarantine.HandleNews(in)
	return inner.QuarantineAck{}, nil
}

// blockTable returns a table of the prompts that are kept from the engines.
func (r *Router) blockTable(context.Context) (operator.Table, error) {
	t := operator.Table{Columns: []operator.Column{
		{Name: "parts"}, {Name: "model"}, {Name: "crashes", Unit: operator.UnitNumber}, {Name: "since", Unit: operator.UnitTime},
		{Name: "decided_by"}, {Name: "trials", Unit: operator.UnitNumber}, {Name: "saved", Unit: operator.UnitBool}, {Name: "ends_in", Unit: operator.UnitDuration},
	}}
	for _, b := range r.quarantine.Blocks() {
		rec := b.Record()
		t.Rows = append(t.Rows, []operator.Cell{
			operator.TextCell(b.PartNames()), operator.TextCell(rec.Service), operator.NumberCell(int64(rec.Crashes)), operator.TimeCell(rec.Since),
			operator.TextCell(rec.Router), operator.NumberCell(int64(rec.Trials)), operator.BoolCell(b.Saved()), operator.DurationCell(b.RetryAfter(time.Now())),
		})
	}
	return t, nil
}
