package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"rosevalve/internal/fleet/eventlog"
	"rosevalve/internal/platform/follow"
	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/request/quarantine"
)

// blockPollWait is how long the store holds a poll for blocks open. Other routers tell this one of
// crashes too, so that it may be longer than for other tables and costs the store little.
const blockPollWait = 8 * time.Second

// tableBlocks is the store's table of blocks of the quarantine.
const tableBlocks = "quarantine"

func (e *Edge) connectQuarantine() {
	e.quarantine = &quarantine.Quarantine{
		Router:      e.incarnation,
		RouterCount: func() int { return len(e.view.Members()) },
		Broadcast:   e.broadcastQuarantineNews,
		Locate:      func(key string) table.Location { return table.Location{Table: tableBlocks, Key: key} },
		Commit: func(ctx context.Context, c table.Commit) (uint64, error) {
			stamp, err := e.commit(ctx, c)
			return stamp.Version, err
		},
		OnEvent: e.recordQuarantineEvent,
	}
	e.blockTable = e.follow(tableBlocks, func(rows []table.Row, from follow.Source) { e.quarantine.ApplyRows(rows, from.RolledBack) })
	e.blockTable.PollWait = blockPollWait
}

// broadcastQuarantineNews sends news to limit random other routers, or to all of them if limit is 0.
func (e *Edge) broadcastQuarantineNews(news inner.QuarantineNews, limit int) {
	addrs := e.reachablePeers()
	if limit > 0 {
		addrs = addrs[:min(limit, len(addrs))]
	}
	go e.transport.Broadcast(addrs, inner.MethodQuarantine, news, func(addr string, err error) {
		e.Events.Emit(eventlog.BlockNewsLost, "peer", addr, "err", err)
	})
}

// handleQuarantineNews takes over what another router tells about parts of prompts.
func (e *Edge) handleQuarantineNews(_ context.Context, params json.RawMessage) (any, error) {
	var in inner.QuarantineNews
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("decode quarantine news: %w", err)
	}
	e.quarantine.HandleNews(in)
	return inner.QuarantineAck{}, nil
}

// blockEvents maps events of the quarantine to log events.
var blockEvents = map[quarantine.EventKind]eventlog.Event{
	quarantine.Blocked:       eventlog.PromptBlocked,
	quarantine.BlockLearned:  eventlog.BlockLearned,
	quarantine.BlockNarrowed: eventlog.BlockNarrowed,
	quarantine.BlockEnded:    eventlog.BlockEnded,
	quarantine.TrialSent:     eventlog.BlockTrialSent,
	quarantine.WriteFailed:   eventlog.BlockUnwritten,
	quarantine.RowUnreadable: eventlog.BlockUnreadable,
}

// recordQuarantineEvent counts and logs an event of the quarantine.
func (e *Edge) recordQuarantineEvent(ev quarantine.Event) {
	e.metrics.count("rosevalve_prompt_blocks_total", 1, "event", ev.Kind.String())
	pairs := []any{"parts", ev.PartNames(), "service", ev.Record.Service}
	switch ev.Kind {
	case quarantine.Blocked, quarantine.BlockLearned:
		pairs = append(pairs, "crashes", ev.Record.Crashes, "addrs", strings.Join(ev.Record.Addrs, " "), "decided_by", ev.Record.Router)
	case quarantine.BlockEnded, quarantine.RowUnreadable:
		pairs = append(pairs, "reason", ev.Reason)
	case quarantine.TrialSent:
		pairs = append(pairs, "trials", ev.Record.Trials)
	}
	if ev.Err != nil {
		pairs = append(pairs, "err", ev.Err)
	}
	e.Events.Emit(blockEvents[ev.Kind], pairs...)
}
