package peer

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// errEmptyReply reports a reply that holds no result.
var errEmptyReply = errors.New("reply has no result")

// reply decodes the result of a call. A null, which the JSON library takes for an empty result of any type, is an error.
type reply struct{ out any }

// UnmarshalJSON decodes the result into out.
func (r *reply) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		return errEmptyReply
	}
	return json.Unmarshal(data, r.out)
}
