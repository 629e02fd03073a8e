package hollowfleet

import (
	"io"
	"maps"
	"slices"
	"sort"
)

// Series is one plan played at several sizes, with the slopes that came of it.
type Series struct {
	// Command repeats the series; Mechanism says what was measured.
	Command   string           `json:"command"`
	Mechanism string           `json:"mechanism"`
	Runs      []*Result        `json:"runs"`
	Slopes    map[string]Slope `json:"slopes"`
}

// Slope is how one figure grows with the nodes.
type Slope struct {
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	Best   Fit     `json:"best"`
	AtPage float64 `json:"fitted-at-390,omitempty"`
	AtLot  float64 `json:"fitted-at-420000-items,omitempty"`
	All    []Fit   `json:"all"`
}

// Play runs every size; workersEach above 0 makes the workers go with the nodes.
func Play(plan Plan, sizes []int, workersEach float64, progress io.Writer) *Series {
	series := &Series{Slopes: map[string]Slope{}}
	for _, size := range sizes {
		entry := plan
		entry.Nodes = size
		if workersEach > 0 {
			entry.Workers = max(1, int(float64(size)*workersEach+0.5))
		}
		series.Runs = append(series.Runs, New(entry, progress).Run())
	}
	series.fit()
	return series
}

// figure is one figure of a result; nil where a run has none.
type figure struct {
	unit string
	of   func(*Result) (float64, bool)
}

// fit gives the slope of every figure that all runs have, from three sizes on.
func (s *Series) fit() {
	if len(s.Runs) < 3 {
		return
	}
	for name, entry := range figures() {
		slope := Slope{Unit: entry.unit}
		for _, run := range s.Runs {
			if value, has := entry.of(run); has {
				slope.Points = append(slope.Points, Point{float64(run.Plan.Nodes), value})
			}
		}
		if len(slope.Points) < len(s.Runs) {
			continue
		}
		sort.Slice(slope.Points, func(left, right int) bool { return slope.Points[left].Size < slope.Points[right].Size })
		slope.Best, slope.All = BestFit(slope.Points)
		slope.AtPage = slope.Best.At(PageNodes)
		s.Slopes[name] = slope
	}
}

func figures() map[string]figure {
	found := map[string]figure{}
	for _, role := range roleNames {
		traffic := func(of func(RoleTraffic) float64) func(*Result) (float64, bool) {
			return func(result *Result) (float64, bool) {
				entry, known := result.Simulated.Roles[role]
				return of(entry), known
			}
		}
		cost := func(of func(RoleCost) float64) func(*Result) (float64, bool) {
			return func(result *Result) (float64, bool) {
				entry, known := result.Measured.Roles[role]
				return of(entry), known
			}
		}
		found[role+" bytes"] = figure{"bytes a second, both ways", traffic(func(entry RoleTraffic) float64 { return entry.Out.Bytes + entry.In.Bytes })}
		found[role+" bytes out"] = figure{"bytes a second", traffic(func(entry RoleTraffic) float64 { return entry.Out.Bytes })}
		found[role+" bytes between zones"] = figure{"bytes a second out of the zone", traffic(func(entry RoleTraffic) float64 { return entry.OutZones })}
		found[role+" frames"] = figure{"frames a second, both ways", traffic(func(entry RoleTraffic) float64 { return entry.Out.Frames + entry.In.Frames })}
		found[role+" processor"] = figure{"ms a second, placement left out", cost(func(entry RoleCost) float64 { return entry.control() })}
		found[role+" heap"] = figure{"KB", cost(func(entry RoleCost) float64 { return sum(entry.HeapKB) })}
		for core := range cores {
			found[role+" "+core.String()+" processor"] = figure{"ms a second", cost(func(entry RoleCost) float64 { return entry.Processor[core.String()] })}
		}
	}
	for _, kind := range []string{"configuration", "worker drains", "machine lost"} {
		found[kind+" known by all"] = figure{"ms, median", func(result *Result) (float64, bool) {
			times, known := result.Simulated.Known[kind]
			return times.MedianMs, known && times.Count > 0
		}}
	}
	found["age of weights"] = figure{"ms, 95 in 100", func(result *Result) (float64, bool) {
		return result.Simulated.Weights.P95Ms, result.Simulated.Weights.Looks > 0
	}}
	found["stale weights"] = figure{"share", func(result *Result) (float64, bool) {
		return result.Simulated.Weights.StaleShare, result.Simulated.Weights.Looks > 0
	}}
	return found
}

// control is the processor time that is not placement of requests.
func (r RoleCost) control() float64 {
	return sum(r.Processor) - r.Processor[CorePlacement.String()]
}

func sum(values map[string]float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

func sortedKeys[Value any](from map[string]Value) []string {
	return slices.Sorted(maps.Keys(from))
}
