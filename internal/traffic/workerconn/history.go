package workerconn

import (
	"hash/fnv"
	"slices"

	"lemonarch/internal/platform/constants"
)

// requestHistory records the latest requests that were sent on a connection, by the hashes of their
// ids. A late second response to one of them carries its id: if the same id were sent on this
// connection again, that response could be mistaken for the response to the new request. next is the
// position of the oldest hash, which is overwritten next.
type requestHistory struct {
	hashes []uint64
	next   int
}

func (c *requestHistory) add(attempt string) {
	if len(c.hashes) < constants.RequestHistorySize {
		c.hashes = append(c.hashes, hashAttempt(attempt))
		return
	}
	c.hashes[c.next] = hashAttempt(attempt)
	c.next = (c.next + 1) % constants.RequestHistorySize
}

func (c *requestHistory) has(attempt string) bool {
	return slices.Contains(c.hashes, hashAttempt(attempt))
}

func hashAttempt(attempt string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(attempt))
	return hash.Sum64()
}
