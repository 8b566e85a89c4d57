package chat

import "hash/fnv"

// SharedParts returns the ids of the parts of a prompt that other requests may share: the messages
// but the last, identified by role and content.
func SharedParts(messages []Message) []uint64 {
	var out []uint64
	for _, m := range messages[:max(0, len(messages)-1)] {
		h := fnv.New64a()
		_, _ = h.Write([]byte(m.Role + "\x00"))
		_, _ = h.Write(m.Content)
		out = append(out, h.Sum64())
	}
	return out
}
