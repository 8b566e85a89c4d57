package inner

// Methods by which a router keeps a copy of another's journal of prepaid tokens.
const (
	// MethodMirrorNote tells a router what another life may use.
	MethodMirrorNote = "mirror_note"
	// MethodMirrorRecall asks a router for the last note of an ended life.
	MethodMirrorRecall = "mirror_recall"
)

// MirrorBound is what may be used of one workspace's tokens.
type MirrorBound struct {
	Tokens int64 `json:"t"`
	Rate   int64 `json:"r,omitempty"`
	Past   int64 `json:"p,omitempty"`
}

// MirrorNote tells what a life of a VM may use.
type MirrorNote struct {
	VM   string `json:"vm"`
	Life string `json:"life"`
	// To is the life of the receiver that is meant; empty if only its clock is asked for.
	To string `json:"to,omitempty"`
	// Epoch counts the lives of the VM, and Seq the notes of this one.
	Epoch int64 `json:"epoch,omitempty"`
	Seq   int64 `json:"seq,omitempty"`
	// AtMS is the receiver's clock at the sending, as estimated.
	AtMS   int64                  `json:"at_ms,omitempty"`
	Bounds map[string]MirrorBound `json:"bounds,omitempty"`
}

// MirrorNoteResponse tells whether the note was kept.
type MirrorNoteResponse struct {
	Life    string `json:"life"`
	ClockMS int64  `json:"clock_ms"`
	Kept    bool   `json:"kept,omitempty"`
}

// MirrorRecall asks for the last note of a life, or of the VM's last one.
type MirrorRecall struct {
	VM   string `json:"vm"`
	Life string `json:"life,omitempty"`
}

// MirrorRecallResponse is the last note of a life, if there is one.
type MirrorRecallResponse struct {
	// By is the life that answers.
	By     string                 `json:"by"`
	Found  bool                   `json:"found,omitempty"`
	Life   string                 `json:"life,omitempty"`
	Epoch  int64                  `json:"epoch,omitempty"`
	Seq    int64                  `json:"seq,omitempty"`
	AgeMS  int64                  `json:"age_ms,omitempty"`
	Bounds map[string]MirrorBound `json:"bounds,omitempty"`
	// Recent are the lives that run or ran a moment ago, if the VM's last life was asked for.
	Recent []string `json:"recent,omitempty"`
}
