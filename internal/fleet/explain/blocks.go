package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Blocks are the prompts that routers have kept from the engines, according to logs.
type Blocks struct {
	blocks  []*blockHistory // in the order in which they began
	crashes []line          // of engines, oldest first
}

// blockHistory is what the logs tell of one block.
type blockHistory struct {
	parts, service, crashes, addrs, decidedBy string
	began, ended                              time.Time // ended is zero while the block is in force
	reason                                    string    // why it ended
	refused                                   int       // requests
}

// ReadBlocks reads the logs and returns the blocks that they tell of.
func ReadBlocks(logs []Log) (*Blocks, error) {
	var lines []line
	for _, log := range logs {
		err := log.read(func(l line) {
			if l.str("component") == "targets" && l.str("parts") != "" || l.str("code") == "prompt_blocked" {
				lines = append(lines, l)
			}
		})
		if err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(lines, byTime)
	b := &Blocks{}
	for _, l := range lines {
		b.record(l)
	}
	return b, nil
}

// record adds a line to the history.
func (b *Blocks) record(l line) {
	switch l.event {
	case "target_crashed":
		b.crashes = append(b.crashes, l)
	case "prompt_blocked", "block_learnt":
		if b.current(l.str("parts")) == nil {
			b.blocks = append(b.blocks, &blockHistory{
				parts: l.str("parts"), service: l.str("service"), crashes: l.str("crashes"),
				addrs: l.str("addrs"), decidedBy: l.str("decided_by"), began: l.at,
			})
		}
	case "block_narrowed":
		b.narrow(l)
	case "block_ended":
		if h := b.current(l.str("parts")); h != nil {
			h.ended, h.reason = l.at, l.str("reason")
		}
	case "request_refused":
		b.countRefusal(l)
	}
}

// current returns the block with the parts that is in force, or nil.
func (b *Blocks) current(parts string) *blockHistory {
	for _, h := range slices.Backward(b.blocks) {
		if h.parts == parts && h.ended.IsZero() {
			return h
		}
	}
	return nil
}

// narrow replaces the parts of the block that is in force and has all of the remaining ones.
func (b *Blocks) narrow(l line) {
	left := strings.Fields(l.str("parts"))
	if b.current(l.str("parts")) != nil {
		return
	}
	for _, h := range slices.Backward(b.blocks) {
		old := strings.Fields(h.parts)
		if h.ended.IsZero() && !slices.ContainsFunc(left, func(part string) bool { return !slices.Contains(old, part) }) {
			h.parts = l.str("parts")
			return
		}
	}
}

// countRefusal counts a refused request at the block that its error names.
func (b *Blocks) countRefusal(l line) {
	for _, h := range slices.Backward(b.blocks) {
		if strings.Contains(l.str("err"), "parts "+h.parts+" crashed") {
			h.refused++
			return
		}
	}
}

// WriteTo writes what is blocked, why, and the crashes of engines in which the parts had a share. It
// returns the number of bytes written.
func (b *Blocks) WriteTo(w io.Writer) (int64, error) {
	out := printer{w: w}
	if len(b.blocks) == 0 {
		out.printf("no prompts are blocked; engines crashed %d times\n", len(b.crashes))
	}
	for _, h := range b.blocks {
		state := "in force"
		if !h.ended.IsZero() {
			state = fmt.Sprintf("ended at %s: %s", h.ended.Format(timeFormat), h.reason)
		}
		out.printf("prompts with %s, service %s: blocked at %s by %s after %s crashes (%s); %s; %d requests refused\n",
			h.parts, h.service, h.began.Format(timeFormat), h.decidedBy, h.crashes, h.addrs, state, h.refused)
		for _, l := range b.crashes {
			if h.hasShare(l) {
				out.printf("    %s %s crashed at %s, seen by %s\n", l.at.Format(timeFormat), l.str("instance"), l.str("addr"), l.vm)
			}
		}
	}
	return out.n, out.err
}

// hasShare reports whether the suspects of a crash include all parts of the block.
func (h *blockHistory) hasShare(crash line) bool {
	suspects := strings.Fields(crash.str("parts"))
	return !slices.ContainsFunc(strings.Fields(h.parts), func(part string) bool { return !slices.Contains(suspects, part) })
}
