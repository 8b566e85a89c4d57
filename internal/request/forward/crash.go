package forward

import (
	"rosevalve/internal/target/crash"
	"rosevalve/internal/target/placement"
	"rosevalve/internal/target/upstream"
)

// sharedParts returns the parts of the prompt that other requests may share: all but the last.
// It is empty for requests that do not go to a model engine.
func (ar *activeRequest) sharedParts() []Part {
	if ar.r.Prompt == nil || ar.service.Engine == nil || len(ar.r.Prompt.Parts) == 0 {
		return nil
	}
	return ar.r.Prompt.Parts[:len(ar.r.Prompt.Parts)-1]
}

// reportBrokenOff reports an attempt that failed with err to the crash detector if its connection
// may have broken because the target crashed. provedSound is set if the answer shows that the
// request did not cause that.
func (ar *activeRequest) reportBrokenOff(slot *placement.Slot, err error, provedSound bool) {
	if ar.f.Crashes == nil || ar.service.Engine == nil || ar.ctx.Err() != nil || !upstream.BrokenOff(err) {
		return
	}
	lost := crash.Lost{Service: ar.service.Name, Instance: slot.ID(), Addr: slot.Addr()}
	if !provedSound {
		for n, part := range ar.sharedParts() {
			lost.Parts = append(lost.Parts, crash.Part{ID: part.ID, Position: n})
		}
	}
	ar.f.Crashes.ConnectionLost(lost)
}
