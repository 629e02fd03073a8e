package constants

// Requests and responses on connections to workers.
const (
	// RequestHistorySize is how many of the latest requests a connection to a worker remembers. A
	// request that it remembers is not sent on it again, since a late duplicate response to the first
	// attempt could be mistaken for the response to the retry. The buffers of a worker can't delay a
	// duplicate past this many complete responses.
	RequestHistorySize = 64
)
