package jointer

import (
	"fmt"
	"sort"
	"strconv"

	"lemonarch/internal/pattern"
	"lemonarch/internal/roster"
	"lemonarch/internal/watch"
)

func number[Whole int | int64](value Whole) string { return strconv.FormatInt(int64(value), 10) }

// reports registers what a placing process says to the shell.
func (jointer *Jointer) reports() {
	jointer.Stand.Report("workers", jointer.reportWorkers)
	jointer.Stand.Report("index", jointer.reportIndex)
	jointer.Stand.Report("displacement", jointer.reportDisplacement)
}

func (jointer *Jointer) reportWorkers() *pattern.Status {
	status := &pattern.Status{Columns: []string{"worker", "service", "hall", "phase", "standing", "heard-ms", "live", "items", "running", "capacity", "suspect", "answers", "failures", "trust"}}
	now := watch.Now()
	standings := map[roster.Standing]string{roster.StandingGood: "good", roster.StandingSuspect: "suspect", roster.StandingOut: "out"}
	bench := jointer.Bench
	bench.Locked(func() {
		for _, worker := range bench.Roster.All(now) {
			vitals := bench.Gauge.Of(worker.ID)
			answers, failures := vitals.Counts()
			status.Rows = append(status.Rows, []string{worker.ID, worker.Backend, worker.Hall, worker.Phase.String(),
				standings[bench.Roster.Standing(worker.ID, now, true)], number(worker.AgeMs), number(vitals.Own() - vitals.OwnBulk()),
				number(vitals.OwnBulk()), number(vitals.Running(now)), number(worker.Capacity), strconv.FormatBool(vitals.Suspect(now)),
				number(answers), number(failures), bench.TrustWord(worker, now)})
		}
	})
	return status
}

func (jointer *Jointer) reportIndex() *pattern.Status {
	status := &pattern.Status{Columns: []string{"prefixes", "placements", "hits", "residency_route_downgrades", "downgrade-share", "tokens-a-ms"}}
	bench := jointer.Bench
	bench.Locked(func() {
		index := bench.Index
		share := 0.0
		if index.Placements > 0 {
			share = float64(index.Downgrades) / float64(index.Placements)
		}
		status.Rows = [][]string{{number(index.Prefixes()), number(index.Placements), number(index.Hits), number(index.Downgrades),
			fmt.Sprintf("%.4f", share), fmt.Sprintf("%.0f", index.Rate())}}
	})
	return status
}

func (jointer *Jointer) reportDisplacement() *pattern.Status {
	status := &pattern.Status{Columns: []string{"route", "displaced", "resumed", "finished"}}
	tallies := jointer.Bench.Tallies()
	routes := make([]string, 0, len(tallies))
	for route := range tallies {
		routes = append(routes, route)
	}
	sort.Strings(routes)
	for _, route := range routes {
		tally := tallies[route]
		status.Rows = append(status.Rows, []string{route, number(tally.Displaced.Load()), number(tally.Resumed.Load()), number(tally.Finished.Load())})
	}
	return status
}

// logDisplacement writes a line for each route whose counts have changed.
func (jointer *Jointer) logDisplacement() {
	for route, tally := range jointer.Bench.Tallies() {
		displaced := tally.Displaced.Load()
		if sum := displaced + tally.Resumed.Load() + tally.Finished.Load(); sum != jointer.logged[route] {
			jointer.logged[route] = sum
			jointer.Stand.Log.Info("displacement", "route", route, "displaced", displaced, "resumed", tally.Resumed.Load(), "finished", tally.Finished.Load())
		}
	}
}
