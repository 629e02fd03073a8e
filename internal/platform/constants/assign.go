package constants

import "time"

// Adapter placement.
const (
	// PlanTimeout is the timeout of planning for an operator, who then sees that the result is
	// undecided. Most files take well under a second, but some inputs could take forever.
	PlanTimeout = time.Minute
	// PlanClausesMax is the maximum number of clauses that the solver may learn in one call, which is
	// one to two seconds of work. It is a count rather than a time so that the result is the same
	// on every machine.
	PlanClausesMax = 20000
	// CollisionClausesMax is the same limit for each call that shortens the list of adapters in a
	// collision report.
	CollisionClausesMax = 500
	// PlanBytesMax is the maximum size, in bytes, of the rules and the solution in the register of
	// assignments. Rules for 200 nodes take 30,000 bytes, and each round of the register
	// carries them.
	PlanBytesMax = 256 << 10
	// PlanPeriod is the period at which a controller checks for absent nodes of the rules.
	PlanPeriod = 2 * time.Second
	// PlanAbsentAfter is the silence after which a node counts as absent: longer than a restart
	// takes, and short compared with the time before a window.
	PlanAbsentAfter = 20 * time.Second
	// PlanBackoff is the minimum time between two plans that a controller makes without an
	// operator's request, so that a flapping node does not move adapters each time.
	PlanBackoff = 10 * time.Second
	// PlanForgetAfter is the silence after which a node counts as never seen.
	PlanForgetAfter = 24 * time.Hour
)
