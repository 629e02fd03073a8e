package constants

// Answers and their requests.
const (
	// CarriedRequests is how many of the latest requests a connection to a worker
	// remembers (ours): a second answer that is held back past as many whole ones is
	// beyond anything a worker's buffers do.
	CarriedRequests = 64
)
