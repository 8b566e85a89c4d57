package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"rosevalve/internal/platform/table"
	"rosevalve/internal/protocol/inner"
	"rosevalve/internal/target/crash"
)

const (
	// maxAnswered bounds the parts that are remembered as answered.
	maxAnswered = 8192
	// soundDelayPerRouter and writeDelayPerRouter, times the number of routers, bound the random
	// delay after which a router tells the others that a part is sound, or writes a block, unless
	// another router has done so. maxSoundDelay and maxWriteDelay bound the delays.
	soundDelayPerRouter = time.Millisecond
	maxSoundDelay       = 200 * time.Millisecond
	writeDelayPerRouter = 5 * time.Millisecond
	maxWriteDelay       = time.Second
	// reportTime is how long the reports of other routers about a crash, and sound answers, are
	// waited for before the crash is judged.
	reportTime = 300 * time.Millisecond
	// maxJudgements bounds how often a crash is judged until engines have answered enough.
	maxJudgements = 10
	// maintenanceInterval is the time between checks of the blocks.
	maintenanceInterval = time.Second
	// gossipPeers is the number of routers that are told of unwritten blocks at each check.
	gossipPeers = 3
	// endedRetention is how long news of other routers do not restore a block that has ended.
	endedRetention = time.Minute
)

// Quarantine decides which prompts are kept away from the engines.
type Quarantine struct {
	// Router is the incarnation of this router, which records name.
	Router string
	// RouterCount returns the number of routers in the fleet.
	RouterCount func() int
	// Broadcast sends news to limit random other routers, or to all of them if limit is 0. It must
	// not block.
	Broadcast func(news inner.QuarantineNews, limit int)
	// Locate returns the location of the row with the key.
	Locate func(key string) table.Location
	// Commit writes rows to the store and returns their version, with the errors of table.Client.
	Commit func(ctx context.Context, c table.Commit) (uint64, error)
	// OnEvent is called with each event. It must not block or call the Quarantine.
	OnEvent func(ev Event)

	once     sync.Once
	answered *lru.Cache[uint64, struct{}] // parts of prompts that were answered
	blocks   atomic.Pointer[snapshot]     // replaced under mu

	mu        sync.Mutex // guards the fields below
	evidence  evidence
	unspread  map[uint64]bool      // sound parts of which no router has told the others yet
	ended     map[uint64]time.Time // when blocks ended here, by the part that names them
	removals  map[string]removal   // rows of ended blocks, to be removed from the store, by key
	crashRows map[string]uint64    // versions of the rows of crashes in the store, by key
}

// removal is the removal of a row on the condition that it still has a version.
type removal struct {
	record  inner.BlockRecord
	version uint64
}

func (q *Quarantine) init() {
	q.once.Do(func() {
		// New fails only for a size that is not positive.
		q.answered, _ = lru.New[uint64, struct{}](maxAnswered)
		q.blocks.Store(&snapshot{})
		q.unspread = make(map[uint64]bool)
		q.ended = make(map[uint64]time.Time)
		q.removals = make(map[string]removal)
		q.crashRows = make(map[string]uint64)
		q.evidence.startedAt = time.Now()
	})
}

// Find returns the block that keeps a prompt with the shared parts from the engines, or nil.
func (q *Quarantine) Find(parts []uint64) *Block {
	q.init()
	blocks := *q.blocks.Load()
	if len(blocks) == 0 {
		return nil
	}
	b := blocks.find(parts)
	if b != nil {
		b.usedAt.Store(time.Now().UnixNano())
	}
	return b
}

// Admit does the same as Find for a request that has just arrived. It also returns nil, and sets
// trial, if the request is to be sent once in spite of a block, to find out whether the block is
// still needed.
func (q *Quarantine) Admit(ctx context.Context, parts []uint64) (b *Block, trial bool) {
	b = q.Find(parts)
	if b == nil || !b.trialDue(time.Now()) || !q.beginTrial(ctx, b) {
		return b, false
	}
	return nil, true
}

// Blocks returns all blocks in the order of the parts that name them.
func (q *Quarantine) Blocks() []*Block {
	q.init()
	var out []*Block
	for _, b := range *q.blocks.Load() {
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b *Block) int {
		if a.key() < b.key() {
			return -1
		}
		return 1
	})
	return out
}

// ObserveCrash records a crash that this router has observed and tells the other routers.
func (q *Quarantine) ObserveCrash(c crash.Crash) {
	q.init()
	r := &inner.CrashReport{Service: c.Service, Addr: c.Addr, Incarnation: c.Incarnation}
	for _, parts := range c.Prompts {
		var prompt []inner.SuspectPart
		for _, part := range parts {
			prompt = append(prompt, inner.SuspectPart{ID: part.ID, Position: part.Position, Answered: q.answered.Contains(part.ID)})
		}
		r.Prompts = append(r.Prompts, prompt)
	}
	if len(r.Prompts) == 0 {
		return
	}
	q.Broadcast(inner.QuarantineNews{Crash: r}, 0)
	q.recordCrash(r)
}

// ObserveSound records that an engine began to answer a prompt with the shared parts at a time and
// did not crash.
func (q *Quarantine) ObserveSound(parts []uint64, began time.Time) {
	q.init()
	for _, part := range parts {
		q.answered.Add(part, struct{}{})
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.evidence.recordSound(began)
	var sound []uint64
	for _, part := range parts {
		if q.shownSound(part, began) {
			sound = append(sound, part)
		}
	}
	q.recordSoundParts(sound)
	q.spreadLater(sound)
}

// HandleNews records what another router tells.
func (q *Quarantine) HandleNews(news inner.QuarantineNews) {
	q.init()
	if news.Crash != nil {
		for _, prompt := range news.Crash.Prompts {
			for n, part := range prompt {
				prompt[n].Answered = part.Answered || q.answered.Contains(part.ID)
			}
		}
		q.recordCrash(news.Crash)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordSoundParts(news.Sound)
	for _, part := range news.Sound {
		delete(q.unspread, part)
	}
	for _, record := range news.Blocks {
		q.learn(record, 0)
	}
}

// recordCrash records a report. A new crash is judged when the reports about it have arrived, and
// then written to the store.
func (q *Quarantine) recordCrash(r *inner.CrashReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c, isNew := q.evidence.add(time.Now(), r)
	if !isNew {
		return
	}
	q.judgeLater(c)
}

// judgeLater judges a crash when the reports about it have arrived.
func (q *Quarantine) judgeLater(c *crashRecord) {
	time.AfterFunc(reportTime, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		c.judgements++
		if q.decide(c) && c.judgements < maxJudgements {
			q.judgeLater(c)
		}
		if c.judgements == 1 && !c.explained {
			q.writeCrashLater(c)
		}
	})
}

// decide blocks the prompts that caused a crash, as far as the evidence suffices. It reports whether
// a cause may be found once engines have answered more other prompts. The caller holds mu.
func (q *Quarantine) decide(c *crashRecord) (open bool) {
	q.evidence.routers = q.RouterCount()
	for _, b := range *q.blocks.Load() {
		q.evidence.explain(b.record.Parts)
	}
	for {
		cause, found, lacksAnswers := q.evidence.findCause(time.Now(), c, q.blocked)
		if !found {
			return lacksAnswers
		}
		q.block(cause, c.service)
	}
}

// block blocks the prompts with a part and its companions. The caller holds mu.
func (q *Quarantine) block(cause caseAgainst, service string) {
	old, known := (*q.blocks.Load())[cause.part]
	parts := []uint64{cause.part}
	for _, part := range cause.companions() {
		// A part that crashes engines also without a companion is blocked without it.
		if !known || slices.Contains(old.record.Parts, part) {
			parts = append(parts, part)
		}
	}
	if !q.evidence.explain(parts) {
		// No prompt has all companions at once.
		parts = parts[:1]
		q.evidence.explain(parts)
	}
	record := inner.BlockRecord{
		Parts: parts, Service: service, Addrs: cause.addrs[:min(len(cause.addrs), maxRecordAddrs)],
		Crashes: cause.crashes, Router: q.Router, Since: time.Now().UTC(),
	}
	b := newBlock(record, 0, time.Now())
	if known {
		b = old.unsavedWith(record, old.version, time.Now())
	}
	q.put(b)
	q.emit(Event{Kind: Blocked, Record: record})
	q.writeLater(b.key())
}

// blocked reports whether a part is among the parts of a block. The caller holds mu.
func (q *Quarantine) blocked(part uint64) bool {
	for _, b := range *q.blocks.Load() {
		if slices.Contains(b.record.Parts, part) {
			return true
		}
	}
	return false
}

// shownSound reports whether an answer that began at a time shows that a suspected or blocked part
// of its prompt is sound. Earlier answers do not, since a part may have become harmful. The caller
// holds mu.
func (q *Quarantine) shownSound(part uint64, began time.Time) bool {
	if first, ok := q.evidence.firstCrash(part); ok && began.After(first) {
		return true
	}
	for _, b := range *q.blocks.Load() {
		if slices.Contains(b.record.Parts, part) && began.After(b.changedAt) {
			return true
		}
	}
	return false
}

// recordSoundParts ends the blocks of prompts that were answered, drops the suspicion against
// their parts, and removes these from other blocks. The caller holds mu.
func (q *Quarantine) recordSoundParts(parts []uint64) {
	for _, b := range *q.blocks.Load() {
		if b.matches(parts) {
			q.end(b, reasonSound)
		}
	}
	for _, part := range parts {
		q.evidence.clear(part)
		for _, b := range *q.blocks.Load() {
			q.narrow(b, part)
		}
	}
}

// narrow removes a sound part from a block that has others. The caller holds mu.
func (q *Quarantine) narrow(b *Block, part uint64) {
	if len(b.record.Parts) < 2 || !slices.Contains(b.record.Parts, part) {
		return
	}
	record := b.record
	record.Parts = slices.DeleteFunc(slices.Clone(record.Parts), func(p uint64) bool { return p == part })
	q.emit(Event{Kind: BlockNarrowed, Record: record})
	version := b.version
	if record.Parts[0] != b.key() {
		// The rest goes by another name.
		q.end(b, reasonReplaced)
		version = 0
	}
	if _, ok := (*q.blocks.Load())[record.Parts[0]]; ok && version == 0 {
		return
	}
	q.put(b.unsavedWith(record, version, time.Now()))
	q.writeLater(record.Parts[0])
}

// spreadLater tells the other routers that parts are sound, unless another one does so first. The
// caller holds mu.
func (q *Quarantine) spreadLater(parts []uint64) {
	if len(parts) == 0 {
		return
	}
	for _, part := range parts {
		q.unspread[part] = true
	}
	time.AfterFunc(q.randomDelay(soundDelayPerRouter, maxSoundDelay), func() {
		if left := q.takeUnspread(parts); len(left) > 0 {
			q.Broadcast(inner.QuarantineNews{Sound: left}, 0)
		}
	})
}

// takeUnspread returns those of the parts of which no router has told the others yet.
func (q *Quarantine) takeUnspread(parts []uint64) []uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []uint64
	for _, part := range parts {
		if q.unspread[part] {
			out = append(out, part)
			delete(q.unspread, part)
		}
	}
	return out
}

// randomDelay returns a random delay that grows with the number of routers, up to limit.
func (q *Quarantine) randomDelay(perRouter, limit time.Duration) time.Duration {
	return rand.N(min(limit, perRouter*time.Duration(max(1, q.RouterCount()))))
}

// put adds a block or replaces the one of its name. The caller holds mu.
func (q *Quarantine) put(b *Block) {
	old := *q.blocks.Load()
	next := make(snapshot, len(old)+1)
	for key, other := range old {
		next[key] = other
	}
	next[b.key()] = b
	q.blocks.Store(&next)
	delete(q.ended, b.key())
	delete(q.removals, PartName(b.key()))
	if len(next) > maxBlocks {
		q.end(next.leastNeeded(b), reasonReplaced)
	}
}

// leastNeeded returns the block, other than spared, that was needed least recently.
func (s snapshot) leastNeeded(spared *Block) *Block {
	var out *Block
	for _, b := range s {
		if b != spared && (out == nil || b.neededAt().Before(out.neededAt())) {
			out = b
		}
	}
	return out
}

// remove removes a block. The caller holds mu.
func (q *Quarantine) remove(b *Block) {
	old := *q.blocks.Load()
	next := make(snapshot, len(old))
	for key, other := range old {
		if key != b.key() {
			next[key] = other
		}
	}
	q.blocks.Store(&next)
}

// end removes a block and has its row removed from the store. The caller holds mu.
func (q *Quarantine) end(b *Block, reason string) {
	q.remove(b)
	q.ended[b.key()] = time.Now()
	if b.version > 0 && reason != reasonRemoved {
		q.removals[PartName(b.key())] = removal{record: b.record, version: b.version}
	}
	q.emit(Event{Kind: BlockEnded, Record: b.record, Reason: reason})
}

func (q *Quarantine) emit(ev Event) {
	if q.OnEvent != nil {
		q.OnEvent(ev)
	}
}
