package inner

// MethodFollow asks a router for the rows of a followed table that the sender lacks.
const MethodFollow = "follow"

// FollowRequest asks for what has changed in a table since a version.
type FollowRequest struct {
	Table string `json:"table"`
	// Era is the store's era to which Since belongs.
	Era   uint64 `json:"era,omitempty"`
	Since uint64 `json:"since"`
}

// FollowResponse holds the rows that changed since the version asked for.
type FollowResponse struct {
	// Era is the store's era to which the versions belong.
	Era uint64 `json:"era,omitempty"`
	// Version is the version up to which the receiver knows the table; 0 if it knows nothing.
	Version uint64 `json:"version"`
	// Whole tells that the rows are the whole table, so that others are gone.
	Whole bool          `json:"whole,omitempty"`
	Rows  []FollowedRow `json:"rows,omitempty"`
}

// FollowedRow is one row of a followed table, or its removal. The value is kept as
// the bytes that the store gave, whether they can be read or not.
type FollowedRow struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}
