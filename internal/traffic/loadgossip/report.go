package loadgossip

import (
	"fmt"
	"sort"
	"strconv"

	"lemonarch/internal/control/workers"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

func formatInt[Whole int | int64](value Whole) string { return strconv.FormatInt(int64(value), 10) }

// registerReports registers the status reports that operators can query.
func (g *Gossip) registerReports() {
	g.Node.Report("workers", g.reportWorkers)
	g.Node.Report("index", g.reportIndex)
	g.Node.Report("displacement", g.reportPreemptions)
}

func (g *Gossip) reportWorkers() *messages.StatusResponse {
	status := &messages.StatusResponse{Columns: []string{"worker", "service", "zone", "phase", "standing", "heard-ms", "live", "items", "running", "capacity", "suspect", "answers", "failures", "trust"}}
	now := clock.Now()
	statusNames := map[workers.Status]string{workers.StatusHealthy: "good", workers.StatusSuspect: "suspect", workers.StatusUnavailable: "out"}
	scheduler := g.Scheduler
	scheduler.WithLock(func() {
		for _, worker := range scheduler.Registry.All(now) {
			health := scheduler.Tracker.HealthOf(worker.ID)
			responses, failures := health.Counts()
			status.Rows = append(status.Rows, []string{worker.ID, worker.Backend, worker.Zone, worker.Phase.String(),
				statusNames[scheduler.Registry.Status(worker.ID, now, true)], formatInt(worker.AgeMs), formatInt(health.OwnRequests() - health.OwnBulkRequests()),
				formatInt(health.OwnBulkRequests()), formatInt(health.Running(now)), formatInt(worker.Capacity), strconv.FormatBool(health.Suspect(now)),
				formatInt(responses), formatInt(failures), scheduler.OutcomeSummary(worker, now)})
		}
	})
	return status
}

func (g *Gossip) reportIndex() *messages.StatusResponse {
	status := &messages.StatusResponse{Columns: []string{"prefixes", "placements", "hits", "residency_route_downgrades", "downgrade-share", "tokens-a-ms"}}
	scheduler := g.Scheduler
	scheduler.WithLock(func() {
		index := scheduler.Index
		share := 0.0
		if index.Placements > 0 {
			share = float64(index.Downgrades) / float64(index.Placements)
		}
		status.Rows = [][]string{{formatInt(index.Prefixes()), formatInt(index.Placements), formatInt(index.Hits), formatInt(index.Downgrades),
			fmt.Sprintf("%.4f", share), fmt.Sprintf("%.0f", index.PrefillRate())}}
	})
	return status
}

func (g *Gossip) reportPreemptions() *messages.StatusResponse {
	status := &messages.StatusResponse{Columns: []string{"route", "displaced", "resumed", "finished"}}
	countersByRoute := g.Scheduler.AllCounters()
	routes := make([]string, 0, len(countersByRoute))
	for route := range countersByRoute {
		routes = append(routes, route)
	}
	sort.Strings(routes)
	for _, route := range routes {
		counters := countersByRoute[route]
		status.Rows = append(status.Rows, []string{route, formatInt(counters.Preempted.Load()), formatInt(counters.Resumed.Load()), formatInt(counters.Finished.Load())})
	}
	return status
}

// logPreemptionCounts logs the preemption counts of each route whose counts have changed.
func (g *Gossip) logPreemptionCounts() {
	for route, counters := range g.Scheduler.AllCounters() {
		preempted := counters.Preempted.Load()
		if sum := preempted + counters.Resumed.Load() + counters.Finished.Load(); sum != g.loggedCounts[route] {
			g.loggedCounts[route] = sum
			g.Node.Log.Info("preemption counts changed", "route", route, "displaced", preempted, "resumed", counters.Resumed.Load(), "finished", counters.Finished.Load())
		}
	}
}
