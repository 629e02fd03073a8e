package leader

import (
	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/batch/jobroute"
	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/messages"
)

// quota tracks what counts against a route in addition to the job table: the jobs that are not yet
// committed. It also caches which route a path belongs to under the newest configuration.
type quota struct {
	pending map[string]pendingJob
	config  *routeconfig.Config
	routes  map[submitPath]*routeconfig.Route
}

// pendingJob is a job whose record is not yet committed.
type pendingJob struct {
	submitPath
	tokens int64
}

// submitPath is the host and path to which a job was submitted.
type submitPath struct{ host, path string }

// submitPathsMax limits the number of cached paths, since each job may have a different path.
const submitPathsMax = 4096

func newQuota() quota {
	return quota{pending: map[string]pendingJob{}, routes: map[submitPath]*routeconfig.Route{}}
}

// addPending adds a job whose record was appended.
func (q *quota) addPending(call *messages.JobCallRequest, tokens int64) {
	q.pending[call.Job] = pendingJob{submitPath{call.Host, call.Path}, tokens}
}

// route returns the batch route of a path, or nil if there is none. A path is matched once per configuration.
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

// waitingTokens returns the sum of the tokens that wait on a route, including those of jobs that are
// not yet committed. The lock is held.
func (t *Term) waitingTokens(config *routeconfig.Config, route *routeconfig.Route) int64 {
	total := t.jobs.WaitingTokens(func(job *dispatch.Job) bool {
		return !t.submissions.ending[job.ID] && t.submissions.quota.route(config, submitPath{job.Host, job.Path}) == route
	})
	for _, pending := range t.submissions.quota.pending {
		if t.submissions.quota.route(config, pending.submitPath) == route {
			total += pending.tokens
		}
	}
	return total
}
