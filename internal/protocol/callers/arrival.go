package callers

import "time"

// bodyPause is how long a body may pause, whatever the limit for headers: a sound caller may fall silent for a second or
// two.
const bodyPause = 3 * time.Second

// maxPauses is how many such pauses a body may have that is no faster than its least rate else.
const maxPauses = 4

// arrival follows a request as it arrives, to tell its header from its body.
type arrival struct {
	began      time.Time // when its first byte was read
	followed   bool      // each byte since the first was observed; false for a pipelined request
	headerDone bool      // the header was observed to its end
	hasLine    bool      // a line that is not empty was observed
	lineLen    int       // bytes in the current line
	lineCR     bool      // the current line begins with a carriage return
	lines      int       // of the header
	bodyBytes  int64     // of the body that have been read, if the connection holds bodies
}

// observe follows the next bytes of the request. It returns how many of them belong to the header: all once that has
// ended before.
func (a *arrival) observe(p []byte) int {
	if a.headerDone {
		return len(p)
	}
	for n, b := range p {
		if b != '\n' {
			a.lineCR = a.lineLen == 0 && b == '\r' || a.lineLen > 0 && a.lineCR
			a.lineLen++
			continue
		}
		// Empty lines before the request are ignored, as the HTTP library does.
		empty := a.lineLen == 0 || a.lineLen == 1 && a.lineCR
		a.headerDone = empty && a.hasLine
		a.hasLine = a.hasLine || !empty
		a.lineLen = 0
		a.lines++
		if a.headerDone {
			return n + 1
		}
	}
	return len(p)
}

// slowestEnd returns when a body that has arrived so far counts as too slow, if its least rate is rate bytes in the time
// limit.
func (a *arrival) slowestEnd(limit time.Duration, rate int) time.Time {
	pauses := maxPauses * max(limit, bodyPause)
	return a.began.Add(limit + pauses + time.Duration(float64(a.bodyBytes)/float64(rate)*float64(limit)))
}

// deadline returns when the next read of the request ends, with the header timeout limit.
// shutdown is when a shutdown began, or zero.
func (a *arrival) deadline(limit time.Duration, shutdown time.Time) time.Time {
	switch {
	case a.followed && !a.headerDone:
		return a.began.Add(limit)
	case !a.followed && !shutdown.IsZero():
		// Header and body of a pipelined request can't be told apart; it must not hold up the shutdown.
		return later(a.began, shutdown).Add(limit)
	default:
		return time.Now().Add(max(limit, bodyPause))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
