package constants

import "time"

// Constants of the dispatcher's order and of the stores' files.
const (
	// RankPeriod is how long the order of open lots by due time is kept (ours): it is
	// the order alone that may be this old.
	RankPeriod = 50 * time.Millisecond
)
