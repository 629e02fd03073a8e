package constants

import "time"

// Adapter placement.
const (
	// PlanTime is how long planning may take before the operator is told that it is
	// not decided (ours): most files take well under a second, and the request is
	// one of those that may take for ever.
	PlanTime = time.Minute
	// PlanEffort is how many clauses the solver may learn over one request (ours):
	// one or two seconds of work. It is a count so that it ends alike everywhere.
	PlanEffort = 20000
	// NamingEffort is the same where only the list of adapters gets shorter (ours).
	NamingEffort = 500
	// PlanBody bounds, in bytes, what the register of assignments holds (ours): rules
	// for 200 nodes take 30,000. It travels with each round of the register.
	PlanBody = 256 << 10
	// PlanPeriod is how often a controller looks whether a node of the rules is gone (ours).
	PlanPeriod = 2 * time.Second
	// PlanAbsentAfter is the silence after which a node is taken for gone (ours): longer
	// than a restart, and short against the time before a window.
	PlanAbsentAfter = 20 * time.Second
	// PlanBackoff is the least time between two plans that a controller makes by itself
	// (ours), so that a node which comes and goes does not move adapters each time.
	PlanBackoff = 10 * time.Second
	// PlanForget is when a node that was seen counts as never seen (ours).
	PlanForget = 24 * time.Hour
)
