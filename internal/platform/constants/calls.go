package constants

// Requests and responses on connections to workers.
const (
	// RequestHistorySize is how many of the latest requests a connection to a worker remembers,
	// to detect a duplicate response. A duplicate that arrives after this many complete
	// responses is beyond what the buffers of a worker can delay.
	RequestHistorySize = 64
)
