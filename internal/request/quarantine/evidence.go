package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rosevalve/internal/protocol/inner"
)

const (
	// episodeGap is the least time between two crashes that count apart. Crashes closer together
	// may have one cause outside the prompts, such as a power failure.
	episodeGap = 250 * time.Millisecond
	// minCrashes and minEpisodes are the numbers of crashes and of episodes, without a sound answer
	// between them, after which a part is blamed.
	minCrashes  = 5
	minEpisodes = 3
	// minAge is how long after its first crash a part is not blamed yet, so that engines have time to
	// answer prompts with it.
	minAge = 2 * time.Second
	// minEpisodesSameAddr is the number of episodes if all crashes were at one address, where the engine itself
	// may be faulty.
	minEpisodesSameAddr = 6
	// minEpisodesBlocked is the number of crashes and episodes for a part that is blocked together with others already.
	minEpisodesBlocked = 2
	// maxChance bounds the chance that all requests with a sound part were lost by accident, at the
	// rate at which other requests were lost within lossWindow.
	maxChance  = 1e-5
	lossWindow = 20 * time.Second
	// maxSoundTimes bounds the sound answers that are remembered.
	maxSoundTimes = 1024
	// minCoverage is the part of all episodes since the first one that a part must have had a share
	// in. Where engines fail for other reasons, it has a share in few of them.
	minCoverage = 0.3
	// minSoundAnswers is the number of other answers that engines must have begun since the first
	// crash, and minSoundAnswersAnswered the same for a part whose prompts were answered before.
	// Without them the engines may fail whatever the prompts hold.
	minSoundAnswers         = 3
	minSoundAnswersAnswered = 20
	// A part that was never answered and had a share in nearly all crashes since its first
	// (minCoverageAlone), at minAddrsAlone addresses, is blamed also if no other prompts were
	// answered: it may leave no engine up for long enough.
	minAddrsAlone    = 2
	minCoverageAlone = 0.9
	// minCompanionShare is the share of the prompts with a part in which another part must stand to be
	// blocked only together with it.
	minCompanionShare = 0.6
	// A part that was never answered and had a share in minEpisodesSuspect episodes, and in
	// minCoverageSuspect of all since its first, may be the cause of its crashes, so that they count
	// as no accident to others.
	minEpisodesSuspect = 4
	minCoverageSuspect = 0.4
	// crashMergeWindow is the time within which reports about one address are about one crash, if
	// they do not name an incarnation.
	crashMergeWindow = time.Second
	// evidenceRetention is how long a crash counts.
	evidenceRetention = 30 * time.Minute
	// maxCrashes bounds the crashes that are kept, and maxSuspects the parts of each, so that a crash
	// fits into a row of the store.
	maxCrashes  = 64
	maxSuspects = 1000
)

// crashRecord is one crash of an engine, with the prompts that the engine had not begun to answer.
type crashRecord struct {
	service, addr, incarnation string

	at           time.Time
	prompts      [][]inner.SuspectPart // without parts that are known to be sound
	suspectCount int                   // parts added to prompts
	explained    bool                  // a block covers one of the prompts
	judgements   int                   // number of times that it was judged
	rowVersion   uint64                // of its row in the store; 0 if it has none
}

// evidence is what the recent crashes show. It does no I/O, and the caller supplies the time.
type evidence struct {
	crashes []*crashRecord // oldest first
	// index sums up crashes by part; nil after a change.
	index map[uint64]partIndex
	// soundBegan are the begin times of the most recent sound answers of this router, in no order.
	soundBegan []time.Time
	nextSound  int // index in soundBegan to be replaced next, once there are maxSoundTimes
	// startedAt is when this router began to collect evidence. It may learn of earlier crashes, but not
	// of sound answers before.
	startedAt time.Time
	// routers is the number of routers, which are assumed to get as many answers each.
	routers int
}

// add records a report. It returns the crash that it is about and whether that is new.
func (e *evidence) add(now time.Time, r *inner.CrashReport) (c *crashRecord, isNew bool) {
	at := now
	if !r.At.IsZero() && r.At.Before(now) {
		at = r.At
	}
	e.index = nil
	c = e.findCrash(at, r)
	isNew = c == nil
	if isNew {
		c = &crashRecord{service: r.Service, addr: r.Addr, incarnation: r.Incarnation, at: at}
		e.crashes = append(e.crashes, c)
		slices.SortStableFunc(e.crashes, func(a, b *crashRecord) int { return a.at.Compare(b.at) })
		e.trim(now)
	}
	for _, prompt := range r.Prompts {
		if c.hasPrompt(prompt) {
			continue
		}
		if c.suspectCount+len(prompt) > maxSuspects {
			continue
		}
		c.suspectCount += len(prompt)
		c.prompts = append(c.prompts, slices.Clone(prompt))
	}
	return c, isNew
}

// hasPrompt reports whether a prompt with the same parts is known.
func (c *crashRecord) hasPrompt(prompt []inner.SuspectPart) bool {
	return slices.ContainsFunc(c.prompts, func(known []inner.SuspectPart) bool {
		return slices.EqualFunc(known, prompt, func(a, b inner.SuspectPart) bool { return a.ID == b.ID })
	})
}

// report returns the crash as a report with its time.
func (c *crashRecord) report() inner.CrashReport {
	r := inner.CrashReport{Service: c.service, Addr: c.addr, Incarnation: c.incarnation, At: c.at.UTC()}
	for _, prompt := range c.prompts {
		r.Prompts = append(r.Prompts, slices.Clone(prompt))
	}
	return r
}

// findCrash returns the crash that a report about a time is about, or nil if it is a new one.
func (e *evidence) findCrash(at time.Time, r *inner.CrashReport) *crashRecord {
	for _, c := range slices.Backward(e.crashes) {
		if c.addr == r.Addr && c.incarnation == r.Incarnation && (r.Incarnation != "" || at.Sub(c.at).Abs() < crashMergeWindow) {
			return c
		}
	}
	return nil
}

// trim drops crashes that are too old or too many.
func (e *evidence) trim(now time.Time) {
	e.index = nil
	drop := max(0, len(e.crashes)-maxCrashes)
	for drop < len(e.crashes) && now.Sub(e.crashes[drop].at) > evidenceRetention {
		drop++
	}
	e.crashes = slices.Delete(e.crashes, 0, drop)
}

// partIndex sums up the crashes of which a part is a suspect.
type partIndex struct {
	firstAt           time.Time
	crashes, episodes int
	lastEpisodeAt     time.Time
}

// parts returns the sums of all suspects, which it computes after a change only: callers may name
// many parts.
func (e *evidence) parts() map[uint64]partIndex {
	if e.index != nil {
		return e.index
	}
	e.index = make(map[uint64]partIndex)
	for _, c := range e.crashes {
		for part := range c.suspects() {
			p := e.index[part]
			if p.crashes == 0 {
				p.firstAt = c.at
			}
			p.crashes++
			if c.at.Sub(p.lastEpisodeAt) >= episodeGap {
				p.lastEpisodeAt = c.at
				p.episodes++
			}
			e.index[part] = p
		}
	}
	return e.index
}

// firstCrash returns the time of the first crash of which the part is a suspect, or false.
func (e *evidence) firstCrash(part uint64) (time.Time, bool) {
	p, ok := e.parts()[part]
	return p.firstAt, ok
}

// clear drops the suspicion against a part.
func (e *evidence) clear(part uint64) {
	if _, ok := e.parts()[part]; !ok {
		return
	}
	e.index = nil
	for _, c := range e.crashes {
		for n, prompt := range c.prompts {
			c.prompts[n] = slices.DeleteFunc(prompt, func(s inner.SuspectPart) bool { return s.ID == part })
		}
		c.prompts = slices.DeleteFunc(c.prompts, func(prompt []inner.SuspectPart) bool { return len(prompt) == 0 })
	}
	e.crashes = slices.DeleteFunc(e.crashes, func(c *crashRecord) bool { return len(c.prompts) == 0 })
}

// recordSound records that an engine began a sound answer at a time.
func (e *evidence) recordSound(began time.Time) {
	if len(e.soundBegan) < maxSoundTimes {
		e.soundBegan = append(e.soundBegan, began)
		return
	}
	e.soundBegan[e.nextSound] = began
	e.nextSound = (e.nextSound + 1) % maxSoundTimes
}

// soundAnswersSince returns how many of the most recent sound answers began after a time.
func (e *evidence) soundAnswersSince(t time.Time) int {
	n := 0
	for _, at := range e.soundBegan {
		if at.After(t) {
			n++
		}
	}
	return n
}

// explain marks the crashes that a block with the parts explains, so that they speak against no
// other part. It reports whether there are any that no block explained before.
func (e *evidence) explain(parts []uint64) bool {
	found := false
	for _, c := range e.crashes {
		if !c.explained && slices.ContainsFunc(c.prompts, func(prompt []inner.SuspectPart) bool { return hasAllParts(prompt, parts) }) {
			c.explained, found = true, true
		}
	}
	return found
}

// hasPart reports whether a prompt has a part.
func hasPart(prompt []inner.SuspectPart, part uint64) bool {
	return slices.ContainsFunc(prompt, func(s inner.SuspectPart) bool { return s.ID == part })
}

// hasAllParts reports whether a prompt has all the parts.
func hasAllParts(prompt []inner.SuspectPart, parts []uint64) bool {
	return !slices.ContainsFunc(parts, func(part uint64) bool { return !hasPart(prompt, part) })
}

// caseAgainst sums up the crashes that speak against one part.
type caseAgainst struct {
	part                    uint64
	crashes                 int
	firstAt                 time.Time
	episodes                int
	allEpisodes, allCrashes int // unexplained ones since the first crash that the part had a share in
	addrs                   []string
	position                int
	answered                bool
	prompts                 int            // suspected prompts with the part
	beside                  map[uint64]int // number of these that have another part, by part
}

// caseAgainst returns the case against a part: the unexplained crashes of which it is a suspect.
func (e *evidence) caseAgainst(part uint64) caseAgainst {
	out := caseAgainst{part: part, beside: make(map[uint64]int)}
	var began, ownBegan time.Time // of the last episode, and of the last one with the part
	for _, c := range e.crashes {
		if c.explained {
			continue
		}
		own := out.addPrompts(c.prompts)
		if !own && out.crashes == 0 {
			continue
		}
		out.allCrashes++
		if c.at.Sub(began) >= episodeGap {
			began = c.at
			out.allEpisodes++
		}
		if !own {
			continue
		}
		out.addCrash(c)
		if c.at.Sub(ownBegan) >= episodeGap {
			ownBegan = c.at
			out.episodes++
		}
	}
	return out
}

// addCrash counts a crash in which the part had a share.
func (c *caseAgainst) addCrash(r *crashRecord) {
	if c.crashes == 0 {
		c.firstAt = r.at
	}
	c.crashes++
	if !slices.Contains(c.addrs, r.addr) {
		c.addrs = append(c.addrs, r.addr)
	}
}

// covers reports whether the part had a share in enough of the episodes.
func (c *caseAgainst) covers() bool { return float64(c.episodes) >= minCoverage*float64(c.allEpisodes) }

// addPrompts adds the prompts of one crash that have the part, and reports whether there are any.
func (c *caseAgainst) addPrompts(prompts [][]inner.SuspectPart) bool {
	found := false
	for _, prompt := range prompts {
		n := slices.IndexFunc(prompt, func(s inner.SuspectPart) bool { return s.ID == c.part })
		if n < 0 {
			continue
		}
		found = true
		c.position = max(c.position, prompt[n].Position)
		c.answered = c.answered || prompt[n].Answered
		c.prompts++
		for _, s := range prompt {
			if s.ID != c.part {
				c.beside[s.ID]++
			}
		}
	}
	return found
}

// companions returns the other parts that stand in most of the prompts with the part.
func (c *caseAgainst) companions() []uint64 {
	var out []uint64
	for part, n := range c.beside {
		if float64(n) >= minCompanionShare*float64(c.prompts) {
			out = append(out, part)
		}
	}
	slices.Sort(out)
	return out
}

// neededEpisodes returns the number of episodes that the case needs. blocked is set if the part is
// one of several that are blocked together.
func (c caseAgainst) neededEpisodes(blocked bool) int {
	switch {
	case blocked:
		return minEpisodesBlocked
	case len(c.addrs) == 1:
		return minEpisodesSameAddr
	default:
		return minEpisodes
	}
}

// neededCrashes returns the number of crashes that the case needs.
func (c caseAgainst) neededCrashes(blocked bool) int {
	if blocked {
		return minEpisodesBlocked
	}
	return minCrashes
}

// accidental reports whether as many requests with a sound part as the case has episodes may have
// been lost by accident: by crashes without the part.
func (e *evidence) accidental(c caseAgainst, now time.Time) bool {
	since := now.Add(-lossWindow)
	strong := e.strongSuspects()
	lost := 1 // an estimate of 0 would exclude accidents
	for _, r := range e.crashes {
		if r.at.After(since) && !r.hasAny(func(part uint64) bool { return part == c.part || strong[part] }) {
			lost += len(r.prompts)
		}
	}
	answered := e.soundAnswersSince(since) * max(1, e.routers)
	lossRate := float64(lost) / float64(lost+answered)
	return math.Pow(lossRate, float64(c.episodes)) > maxChance
}

// strongSuspects returns the parts that were never answered and had a share in many episodes.
func (e *evidence) strongSuspects() map[uint64]bool {
	out := make(map[uint64]bool)
	for part, sums := range e.parts() {
		if sums.episodes < minEpisodesSuspect {
			continue
		}
		c := e.caseAgainst(part)
		out[part] = !c.answered && float64(c.episodes) >= minCoverageSuspect*float64(c.allEpisodes)
	}
	return out
}

// sufficient reports whether the case suffices. open reports that it lacks nothing but time or
// sound answers to other prompts.
func (e *evidence) sufficient(c caseAgainst, blocked bool, now time.Time) (ok, open bool) {
	if c.crashes < c.neededCrashes(blocked) || c.episodes < c.neededEpisodes(blocked) || !c.covers() {
		return false, false
	}
	if now.Sub(c.firstAt) < minAge || now.Sub(e.startedAt) < minAge {
		return false, true
	}
	if c.alone() {
		return true, false
	}
	if !blocked && e.accidental(c, now) {
		return false, true
	}
	needed := minSoundAnswers
	if c.answered {
		needed = minSoundAnswersAnswered
	}
	ok = e.soundAnswersSince(c.firstAt) >= needed
	return ok, !ok
}

// alone reports whether the part explains nearly all crashes by itself.
func (c caseAgainst) alone() bool {
	return !c.answered && len(c.addrs) >= minAddrsAlone &&
		float64(c.crashes) >= minCoverageAlone*float64(c.allCrashes)
}

// compare orders cases by how likely the part is the cause: rather one that was never answered,
// then one with more episodes, then the most specific one.
func (c caseAgainst) compare(other caseAgainst) int {
	switch {
	case c.answered && !other.answered:
		return -1
	case !c.answered && other.answered:
		return 1
	default:
		return cmp.Or(cmp.Compare(c.episodes, other.episodes), cmp.Compare(c.position, other.position), cmp.Compare(c.part, other.part))
	}
}

// findCause returns the strongest sufficient case against a suspect of the crash. open reports
// that a case lacks nothing but sound answers to other prompts.
func (e *evidence) findCause(now time.Time, crash *crashRecord, blocked func(part uint64) bool) (best caseAgainst, found, open bool) {
	if crash.explained {
		return caseAgainst{}, false, false
	}
	for part := range crash.suspects() {
		if e.parts()[part].crashes < minEpisodesBlocked {
			continue
		}
		c := e.caseAgainst(part)
		ok, lacksAnswers := e.sufficient(c, blocked(part), now)
		open = open || lacksAnswers
		if ok && (!found || c.compare(best) > 0) {
			best, found = c, true
		}
	}
	return best, found, open
}

// hasAny reports whether is holds for any part of the crash's prompts.
func (c *crashRecord) hasAny(is func(part uint64) bool) bool {
	return slices.ContainsFunc(c.prompts, func(prompt []inner.SuspectPart) bool {
		return slices.ContainsFunc(prompt, func(s inner.SuspectPart) bool { return is(s.ID) })
	})
}

// suspects returns the distinct parts of the crash's prompts.
func (c *crashRecord) suspects() map[uint64]bool {
	out := make(map[uint64]bool)
	for _, prompt := range c.prompts {
		for _, s := range prompt {
			out[s.ID] = true
		}
	}
	return out
}
