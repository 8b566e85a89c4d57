package inner

// Methods for a mirror: a router that keeps a copy of another router's journal of prepaid
// tokens.
const (
	// MethodMirrorNote sends the token bounds of an incarnation to its mirror.
	MethodMirrorNote = "mirror_note"
	// MethodMirrorRecall requests the last note of an ended incarnation from a router.
	MethodMirrorRecall = "mirror_recall"
)

// MirrorBound limits the tokens of one workspace that an incarnation may use.
type MirrorBound struct {
	// Tokens is the number of tokens that may be used at once.
	Tokens int64 `json:"t"`
	// Rate is the number of further tokens that may be used per second after the grace period.
	Rate int64 `json:"r,omitempty"`
	// ClosedUsage is the number of tokens used from closed holdings of the VM.
	ClosedUsage int64 `json:"p,omitempty"`
}

// MirrorNote holds the tokens that an incarnation on a VM may use.
type MirrorNote struct {
	VM          string `json:"vm"`
	Incarnation string `json:"life"`
	// To is the receiving incarnation; empty if the sender only requests its clock.
	To string `json:"to,omitempty"`
	// Epoch numbers the incarnations on the VM, and Seq the notes of this one.
	Epoch int64 `json:"epoch,omitempty"`
	Seq   int64 `json:"seq,omitempty"`
	// AtMS is the sender's estimate of the receiver's clock at the time of sending.
	AtMS   int64                  `json:"at_ms,omitempty"`
	Bounds map[string]MirrorBound `json:"bounds,omitempty"`
}

// MirrorNoteResponse reports whether the note was kept.
type MirrorNoteResponse struct {
	Incarnation string `json:"life"`
	ClockMS     int64  `json:"clock_ms"`
	Kept        bool   `json:"kept,omitempty"`
}

// MirrorRecall requests the last note of an incarnation, or of the most recent one on the VM
// if Incarnation is empty.
type MirrorRecall struct {
	VM          string `json:"vm"`
	Incarnation string `json:"life,omitempty"`
}

// MirrorRecallResponse holds the last note of an incarnation, if the router has one.
type MirrorRecallResponse struct {
	// Responder is the responding incarnation.
	Responder string                 `json:"by"`
	Found     bool                   `json:"found,omitempty"`
	Life      string                 `json:"life,omitempty"`
	Epoch     int64                  `json:"epoch,omitempty"`
	Seq       int64                  `json:"seq,omitempty"`
	AgeMS     int64                  `json:"age_ms,omitempty"`
	Bounds    map[string]MirrorBound `json:"bounds,omitempty"`
	// Recent are the incarnations that run, or ran a moment ago, according to the responding
	// router. It is set if the request named no incarnation.
	Recent []string `json:"recent,omitempty"`
}
