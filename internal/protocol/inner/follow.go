package inner

// MethodFollow requests the rows of a table of the store that the sender's copy lacks.
const MethodFollow = "follow"

// FollowRequest requests the rows of a table that changed after version Since.
type FollowRequest struct {
	Table string `json:"table"`
	// Era is the store era of Since; see table.Stamp.
	Era   uint64 `json:"era,omitempty"`
	Since uint64 `json:"since"`
	// Packing is how values may be packed that the sender can unpack; empty allows none.
	Packing string `json:"packing,omitempty"`
}

// PackingDeflate packs values as DEFLATE streams.
const PackingDeflate = "deflate"

// FollowResponse holds the rows that changed after the requested version.
type FollowResponse struct {
	// Era is the store era of all versions in the response.
	Era uint64 `json:"era,omitempty"`
	// Version is the version up to which the receiver's copy is complete; 0 if it has none.
	Version uint64 `json:"version"`
	// Whole reports that Rows is the whole table; a row that it lacks is deleted.
	Whole bool          `json:"whole,omitempty"`
	Rows  []FollowedRow `json:"rows,omitempty"`
}

// FollowedRow is one row of the table, or its deletion. Value holds the unchanged bytes from
// the store, even if they cannot be decoded, or the same in the packing of the request if Packed is set.
type FollowedRow struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
	Packed  bool   `json:"packed,omitempty"`
}
