package workerconn

import (
	"hash/fnv"
	"slices"

	"lemonarch/internal/platform/constants"
)

// requestHistory remembers the requests that travelled on a connection, by the hashes of their
// ids. A late second response to one of them bears its id: were the same id sent here
// again, that response could pass for the new one's.
type requestHistory struct {
	hashes []uint64
	next   int
}

func (c *requestHistory) add(attempt string) {
	if len(c.hashes) < constants.CarriedRequests {
		c.hashes = append(c.hashes, hashAttempt(attempt))
		return
	}
	c.hashes[c.next] = hashAttempt(attempt)
	c.next = (c.next + 1) % constants.CarriedRequests
}

func (c *requestHistory) has(attempt string) bool {
	return slices.Contains(c.hashes, hashAttempt(attempt))
}

func hashAttempt(attempt string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(attempt))
	return hash.Sum64()
}
