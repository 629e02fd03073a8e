package leader

import (
	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/batch/jobroute"
	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/messages"
)

// quota knows what counts against a route beside the job table: jobs on their way to
// the stores, and which route a path belongs to under the newest configuration.
type quota struct {
	pending map[string]pendingJob
	config  *routeconfig.Config
	routes  map[submitPath]*routeconfig.Route
}

// pendingJob is a job that is not durable yet.
type pendingJob struct {
	submitPath
	tokens int64
}

// submitPath is where a job was submitted.
type submitPath struct{ host, path string }

// submitPathsMax bounds the paths remembered (ours): each job may have a path of its own.
const submitPathsMax = 4096

func newQuota() quota {
	return quota{pending: map[string]pendingJob{}, routes: map[submitPath]*routeconfig.Route{}}
}

// addPending notes a job that was given to the stores.
func (q *quota) addPending(call *messages.JobCallRequest, tokens int64) {
	q.pending[call.Job] = pendingJob{submitPath{call.Host, call.Path}, tokens}
}

// route gives the batch route of a path, matched once for each configuration.
func (q *quota) route(config *routeconfig.Config, at submitPath) *routeconfig.Route {
	if q.config != config || len(q.routes) > submitPathsMax {
		q.config, q.routes = config, map[submitPath]*routeconfig.Route{}
	}
	route, known := q.routes[at]
	if !known {
		route = jobroute.Of(config, at.host, at.path)
		q.routes[at] = route
	}
	return route
}

// waitingTokens adds up the tokens that wait on a route, jobs on their way to the
// stores included. The lock is held.
func (t *Term) waitingTokens(config *routeconfig.Config, route *routeconfig.Route) int64 {
	total := t.jobs.Waiting(func(job *dispatch.Job) bool {
		return !t.submissions.ending[job.ID] && t.submissions.quota.route(config, submitPath{job.Host, job.Path}) == route
	})
	for _, coming := range t.submissions.quota.pending {
		if t.submissions.quota.route(config, coming.submitPath) == route {
			total += coming.tokens
		}
	}
	return total
}
