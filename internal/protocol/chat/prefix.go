package chat

import "hash/fnv"

const (
	leastPrefix = 256  // bytes below which a cached prefix saves nothing
	mostPrefix  = 2048 // bytes that identify a prompt's beginning
)

// PrefixHash identifies the beginning of a prompt for affinity, up to the end of
// the first user message; it is zero for prompts too short to gain from a cache.
func PrefixHash(messages []Message) uint64 {
	h := fnv.New64a()
	n := 0
	for _, m := range messages {
		part := m.Content[:min(len(m.Content), mostPrefix-n)]
		_, _ = h.Write(part)
		n += len(part)
		if m.Role == "user" || n == mostPrefix {
			break
		}
	}
	if n < leastPrefix {
		return 0
	}
	return max(1, h.Sum64())
}
