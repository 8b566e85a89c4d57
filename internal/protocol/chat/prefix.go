package chat

import "hash/fnv"

const (
	minPrefixBytes = 256  // a shorter prefix gains nothing from a cache
	maxPrefixBytes = 2048 // at most this much of a prompt is hashed
)

// PrefixHash hashes the start of a prompt, up to the end of the first user message, so that
// requests with the same start can go to a target with a warm cache. It returns 0 for a prompt
// that is too short to gain from a cache.
func PrefixHash(messages []Message) uint64 {
	h := fnv.New64a()
	size := 0
	for _, m := range messages {
		part := m.Content[:min(len(m.Content), maxPrefixBytes-size)]
		_, _ = h.Write(part)
		size += len(part)
		if m.Role == "user" || size == maxPrefixBytes {
			break
		}
	}
	if size < minPrefixBytes {
		return 0
	}
	return max(1, h.Sum64())
}
