package quarantine

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"rosevalve/internal/protocol/inner"
)

const (
	// quietPeriod is how long no request with the parts of a block must arrive before it ends.
	quietPeriod = 10 * time.Minute
	// renewInterval is the time after which a router that still gets such requests says so.
	renewInterval = quietPeriod / 4
	// maxBlocks bounds the blocks. A further one replaces that which was needed least recently.
	maxBlocks = 256
	// maxRecordAddrs bounds the addresses in a record.
	maxRecordAddrs = 8
)

// trialDelays are the times after which one request is sent in spite of a block, counted from the
// block or the trial before. There are no more, so that a block costs few engines.
var trialDelays = []time.Duration{10 * time.Minute, time.Hour}

// Block states that prompts which hold all of some parts are not sent to engines. It is immutable,
// except for the time of its last use.
type Block struct {
	record inner.BlockRecord
	// version is the version of the row in the store; 0 if it was not written yet.
	version uint64
	// unsaved is set if the row does not hold the record yet.
	unsaved bool
	// changedAt is when this router learnt of the block or its last change, and trialAt when it
	// learnt of the block or its last trial.
	changedAt, trialAt time.Time
	// usedAt is when the block last refused a request here, as nanoseconds since 1970; 0 if never.
	usedAt *atomic.Int64
}

// Record returns the reason for the block.
func (b *Block) Record() inner.BlockRecord { return b.record }

// RefusalCode is the code of the answer to a request that is not sent because of a block.
const RefusalCode = "prompt_blocked"

// SoundAfter is how long after its first event an answer must still be running to show that its
// prompt does not crash engines, which it would do at the first event.
const SoundAfter = 500 * time.Millisecond

// Reason describes the crashes that are the reason for the block.
func (b *Block) Reason() string {
	return fmt.Sprintf("prompts with the parts %s crashed %d engines of service %q", b.PartNames(), b.record.Crashes, b.record.Service)
}

// Saved reports whether the store holds the block as it is.
func (b *Block) Saved() bool { return !b.unsaved }

// key returns the part that names the block.
func (b *Block) key() uint64 { return b.record.Parts[0] }

// matches reports whether a prompt with the shared parts holds all parts of the block.
func (b *Block) matches(parts []uint64) bool {
	for _, part := range b.record.Parts {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

// neededAt returns when the block was last known to be needed.
func (b *Block) neededAt() time.Time {
	if used := b.usedAt.Load(); used != 0 && time.Unix(0, used).After(b.changedAt) {
		return time.Unix(0, used)
	}
	return b.changedAt
}

// needsRenewal reports whether the other routers must learn that such requests still arrive.
func (b *Block) needsRenewal(now time.Time) bool {
	return b.neededAt().After(b.changedAt) && now.Sub(b.changedAt) >= renewInterval
}

// quiet reports whether the block has not been needed for long enough to end.
func (b *Block) quiet(now time.Time) bool { return now.Sub(b.neededAt()) >= quietPeriod }

// trialDue reports whether one request may be sent in spite of the block.
func (b *Block) trialDue(now time.Time) bool {
	return b.version > 0 && b.record.Trials < len(trialDelays) && now.Sub(b.trialAt) >= trialDelays[b.record.Trials]
}

// RetryAfter returns the time until the block may end at the earliest.
func (b *Block) RetryAfter(now time.Time) time.Duration {
	if b.record.Trials >= len(trialDelays) {
		return quietPeriod
	}
	return max(time.Second, trialDelays[b.record.Trials]-now.Sub(b.trialAt))
}

// unsavedWith returns the block with a record that the store does not hold yet.
func (b *Block) unsavedWith(record inner.BlockRecord, version uint64, now time.Time) *Block {
	out := b.with(record, version, now)
	out.unsaved = true
	return out
}

// with returns the block with a record that the row of the version holds.
func (b *Block) with(record inner.BlockRecord, version uint64, now time.Time) *Block {
	out := &Block{record: record, version: version, changedAt: now, trialAt: b.trialAt, usedAt: b.usedAt}
	if record.Trials != b.record.Trials {
		out.trialAt = now
	}
	return out
}

// newBlock returns a block that this router has just learnt of.
func newBlock(record inner.BlockRecord, version uint64, now time.Time) *Block {
	return &Block{record: record, version: version, unsaved: version == 0, changedAt: now, trialAt: now, usedAt: &atomic.Int64{}}
}

// PartName returns the name of a part in rows, logs and answers.
func PartName(part uint64) string { return strconv.FormatUint(part, 16) }

// partNames returns the names of parts, separated by spaces.
func partNames(parts []uint64) string {
	names := make([]string, len(parts))
	for n, part := range parts {
		names[n] = PartName(part)
	}
	return strings.Join(names, " ")
}

// PartNames returns the names of the block's parts, separated by spaces.
func (b *Block) PartNames() string { return partNames(b.record.Parts) }

// snapshot holds all blocks by the part that names them. It is immutable.
type snapshot map[uint64]*Block

// find returns a block that matches a prompt with the shared parts, or nil.
func (s snapshot) find(parts []uint64) *Block {
	for _, part := range parts {
		if b, ok := s[part]; ok && b.matches(parts) {
			return b
		}
	}
	return nil
}
