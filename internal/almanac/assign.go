package almanac

import "time"

// Adapter placement.
const (
	// PlanTime is how long planning may take before the operator is told that it is
	// not decided (ours): most files take well under a second, and the question is
	// one of those that may take for ever.
	PlanTime = time.Minute
	// PlanEffort is how many clauses the solver may learn over one question (ours):
	// one or two seconds of work. It is a count so that it ends alike everywhere.
	PlanEffort = 20000
	// NamingEffort is the same where only the list of adapters gets shorter (ours).
	NamingEffort = 500
)
