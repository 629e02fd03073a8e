package forecast

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// Report is a forecast. Its JSON members and their order are stable.
type Report struct {
	Families []FamilyCapacity `json:"families"`
	// FirstShort is the family that runs short of capacity first; nil if none does.
	FirstShort *string         `json:"first-short"`
	Classes    []ClassForecast `json:"classes"`
	// NodesAnswered is the number of gateways and stores whose traffic is known; NodesMissing names
	// the others, and zones from which no controller responded. ObservedS is how long the traffic was
	// observed, in seconds.
	NodesAnswered int      `json:"nodes-answered"`
	NodesMissing  []string `json:"nodes-missing"`
	ObservedS     float64  `json:"observed-s"`
}

// FamilyCapacity is the predicted capacity of a family.
type FamilyCapacity struct {
	Family    string     `json:"family"`
	Resources []Resource `json:"resources"`
	// ShortAtS is when the family runs short of capacity, in seconds from now, and ShortOf the
	// resource that is exhausted. Both are nil if it does not run short in most of the simulation
	// runs, or if nothing is predicted, for the reason in Unknown.
	ShortAtS *float64 `json:"short-at-s"`
	ShortOf  *string  `json:"short-of"`
	Unknown  string   `json:"unknown,omitempty"`
	// meanWaitsMs are the mean waits of each second of the first run, for the plot; -1 for a second
	// without requests.
	meanWaitsMs []float64
}

// ClassForecast predicts whether a class becomes late in the surge. Late and the shares are nil if
// nothing is predicted, for the reason in Unknown.
type ClassForecast struct {
	Class  string `json:"class"`
	Family string `json:"family"`
	Late   *bool  `json:"late"`
	// LateShare is the share of requests that are late or rejected; Low and High are the bounds of
	// its interval.
	LateShare *float64 `json:"late-share"`
	Low       *float64 `json:"low"`
	High      *float64 `json:"high"`
	Unknown   string   `json:"unknown,omitempty"`
}

// Forecast predicts the effects of a scenario on a fleet of the given state. If the scenario does not
// match the fleet, for example if it names an unknown route, Forecast returns findings and no report.
func Forecast(scenario *Scenario, state *FleetState, seed uint64) (*Report, []string) {
	combined, findings := demands(scenario, state)
	if len(findings) > 0 {
		return nil, findings
	}
	report := &Report{Families: []FamilyCapacity{}, Classes: []ClassForecast{}, NodesAnswered: state.Answered,
		NodesMissing: append([]string{}, state.Missing...), ObservedS: rounded(state.ObservedS)}
	slices.Sort(report.NodesMissing)
	earliest := math.Inf(1)
	for _, f := range families(scenario, combined, state.services(scenario.Exclusions)) {
		capacity, classes := f.forecast(scenario.HorizonS*1000, seed, state.answeredShare())
		report.Families = append(report.Families, capacity)
		report.Classes = append(report.Classes, classes...)
		if capacity.ShortAtS != nil && *capacity.ShortAtS < earliest {
			earliest, report.FirstShort = *capacity.ShortAtS, &capacity.Family
		}
	}
	slices.SortStableFunc(report.Classes, func(left, right ClassForecast) int { return strings.Compare(left.Class, right.Class) })
	return report, nil
}

// forecast simulates one family and returns its capacity and the lateness of its classes.
func (f *family) forecast(horizonMs float64, seed uint64, answered float64) (FamilyCapacity, []ClassForecast) {
	capacity := FamilyCapacity{Family: f.name, Resources: f.resources()}
	if !f.predictable() {
		return f.unknownCapacity(capacity)
	}
	var shortAt []float64
	shares := map[*demand][]float64{}
	for repetition := range uint64(repetitions) {
		w := f.run(horizonMs, seed*1000+repetition)
		if at := w.shortAtMs(); at >= 0 {
			shortAt = append(shortAt, at/1000)
		}
		for d, counts := range w.tallies {
			if counts.total > 0 {
				shares[d] = append(shares[d], float64(counts.late)/float64(counts.total))
			}
		}
		if repetition == 0 {
			capacity.meanWaitsMs = w.meanWaitsMs()
		}
	}
	if len(shortAt) > repetitions/2 {
		slices.Sort(shortAt)
		medianS, resource := rounded(shortAt[len(shortAt)/2]), mostUsedResource(capacity.Resources)
		capacity.ShortAtS, capacity.ShortOf = &medianS, &resource
	}
	return capacity, f.lateClasses(shares, answered)
}

// unknownCapacity returns the result for a family about which too little is known, with the reasons.
func (f *family) unknownCapacity(capacity FamilyCapacity) (FamilyCapacity, []ClassForecast) {
	var classes []ClassForecast
	for _, d := range f.demands {
		reason := d.unknownReason
		if reason == "" {
			reason = "another class of its family is not known"
		} else {
			capacity.Unknown = d.name() + ": " + reason
		}
		classes = append(classes, ClassForecast{Class: d.name(), Family: f.name, Unknown: reason})
	}
	return capacity, classes
}

// lateClasses returns the lateness of the family's classes with their intervals. The smaller the
// fraction of nodes that reported their traffic, the wider the intervals.
func (f *family) lateClasses(shares map[*demand][]float64, answered float64) []ClassForecast {
	var classes []ClassForecast
	for _, d := range f.demands {
		predicted := ClassForecast{Class: d.name(), Family: f.name}
		if classShares := shares[d]; len(classShares) == 0 {
			predicted.Unknown = "no surge on its family"
		} else {
			mean, deviation := stat.MeanStdDev(classShares, nil)
			if len(classShares) < 2 {
				deviation = 0
			}
			width := 2 * deviation / math.Sqrt(max(answered, 0.01))
			share, low, high := rounded(mean), rounded(max(mean-width, 0)), rounded(min(mean+width, 1))
			late := mean > LateShare
			predicted.Late, predicted.LateShare, predicted.Low, predicted.High = &late, &share, &low, &high
		}
		classes = append(classes, predicted)
	}
	return classes
}

// meanWaitsMs returns the mean wait of each window, in ms; -1 for a window without requests.
func (w *world) meanWaitsMs() []float64 {
	waits := make([]float64, len(w.windows))
	for i, current := range w.windows {
		waits[i] = -1
		if total := current.placed + current.rejected; total > 0 {
			waits[i] = current.waitMs / float64(total)
		}
	}
	return waits
}

// AnyLate reports whether any class is predicted to become late.
func (a *Report) AnyLate() bool {
	return slices.ContainsFunc(a.Classes, func(c ClassForecast) bool { return c.Late != nil && *c.Late })
}

// JSON writes the report as indented JSON.
func (a *Report) JSON(writer io.Writer) error {
	return WriteJSON(writer, a)
}

// WriteJSON writes a value as indented JSON.
func WriteJSON(writer io.Writer, value any) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// Table writes the report as human-readable tables.
func (a *Report) Table(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	first := "none runs short"
	if a.FirstShort != nil {
		first = "first to run short: " + *a.FirstShort
	}
	fmt.Fprintf(table, "%s\nobserved for %.0f s by %d nodes, %d missing\n\n", first, a.ObservedS, a.NodesAnswered, len(a.NodesMissing))
	fmt.Fprintln(table, "family\tresource\tnow\tsurge\tfits\tshort")
	for _, capacity := range a.Families {
		for _, resource := range capacity.Resources {
			short := ""
			if capacity.ShortOf != nil && *capacity.ShortOf == resource.Resource {
				short = fmt.Sprintf("at %.0f s", *capacity.ShortAtS)
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", capacity.Family, resource.Resource, formatPercent(resource.UsedNow), formatPercent(resource.UsedSurge), formatFactor(resource.FactorLeft), short)
		}
		if capacity.Unknown != "" {
			fmt.Fprintf(table, "%s\tunknown: %s\n", capacity.Family, capacity.Unknown)
		}
	}
	fmt.Fprintln(table, "\nclass\tfamily\tlate\tshare\tinterval")
	for _, class := range a.Classes {
		if class.Late == nil {
			fmt.Fprintf(table, "%s\t%s\tunknown\t%s\n", class.Class, class.Family, class.Unknown)
			continue
		}
		late := "no"
		if *class.Late {
			late = "yes"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s to %s\n", class.Class, class.Family, late, formatPercent(class.LateShare), formatPercent(class.Low), formatPercent(class.High))
	}
	return table.Flush()
}

func formatPercent(fraction *float64) string {
	if fraction == nil {
		return "unknown"
	}
	return fmt.Sprintf("%.0f%%", *fraction*100)
}

func formatFactor(factor *float64) string {
	if factor == nil {
		return "-"
	}
	return fmt.Sprintf("%.2f times", *factor)
}
