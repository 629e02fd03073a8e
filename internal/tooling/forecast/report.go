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

// Report is a forecast. Its members and their order are stable.
type Report struct {
	Families []FamilyCapacity `json:"families"`
	// FirstShort is the family that runs short first; nil where none does.
	FirstShort *string     `json:"first-short"`
	Classes    []ClassLate `json:"classes"`
	// NodesAnswered counts the gateways and stores whose traffic is known, NodesMissing names
	// the others. ObservedS is the time that the traffic was observed, in seconds.
	NodesAnswered int      `json:"nodes-answered"`
	NodesMissing  []string `json:"nodes-missing"`
	ObservedS     float64  `json:"observed-s"`
}

// FamilyCapacity is the capacity of a family.
type FamilyCapacity struct {
	Family    string     `json:"family"`
	Resources []Resource `json:"resources"`
	// ShortAtS is when it runs short, in seconds from now, and ShortOf of what; nil where it
	// does not in most of the runs, or where Unknown says why nothing is predicted.
	ShortAtS *float64 `json:"short-at-s"`
	ShortOf  *string  `json:"short-of"`
	Unknown  string   `json:"unknown,omitempty"`
	// waits are the mean waits by second of a run, for the plot.
	waits []float64
}

// ClassLate tells whether a class turns late in the surge. Late is nil, as are the shares,
// where Unknown says why nothing is predicted.
type ClassLate struct {
	Class  string `json:"class"`
	Family string `json:"family"`
	Late   *bool  `json:"late"`
	// LateShare is the share of requests that are late or refused, Low and High its interval.
	LateShare *float64 `json:"late-share"`
	Low       *float64 `json:"low"`
	High      *float64 `json:"high"`
	Unknown   string   `json:"unknown,omitempty"`
}

// Forecast answers a scenario from what is known. Findings say what of the scenario the fleet
// does not know; there is no report then.
func Forecast(scenario *Scenario, known *Known, seed uint64) (*Report, []string) {
	joined, findings := demands(scenario, known)
	if len(findings) > 0 {
		return nil, findings
	}
	report := &Report{Families: []FamilyCapacity{}, Classes: []ClassLate{}, NodesAnswered: known.Answered,
		NodesMissing: append([]string{}, known.Missing...), ObservedS: rounded(known.ObservedS)}
	slices.Sort(report.NodesMissing)
	earliest := math.Inf(1)
	for _, each := range families(scenario, joined, known.services(scenario.Without)) {
		capacity, classes := each.forecast(scenario.HorizonS*1000, seed, known.answeredShare())
		report.Families = append(report.Families, capacity)
		report.Classes = append(report.Classes, classes...)
		if capacity.ShortAtS != nil && *capacity.ShortAtS < earliest {
			earliest, report.FirstShort = *capacity.ShortAtS, &capacity.Family
		}
	}
	slices.SortStableFunc(report.Classes, func(left, right ClassLate) int { return strings.Compare(left.Class, right.Class) })
	return report, nil
}

// forecast tells of one family.
func (f *family) forecast(horizonMs float64, seed uint64, answered float64) (FamilyCapacity, []ClassLate) {
	capacity := FamilyCapacity{Family: f.name, Resources: f.resources()}
	if !f.known() {
		return f.unknownCapacity(capacity)
	}
	var shortAt []float64
	shares := map[*demand][]float64{}
	for repetition := range uint64(repetitions) {
		w := f.run(horizonMs, seed*1000+repetition)
		if at := w.shortAtMs(); at >= 0 {
			shortAt = append(shortAt, at/1000)
		}
		for entry, of := range w.tallies {
			if of.all > 0 {
				shares[entry] = append(shares[entry], float64(of.late)/float64(of.all))
			}
		}
		if repetition == 0 {
			capacity.waits = w.waits()
		}
	}
	if len(shortAt) > repetitions/2 {
		slices.Sort(shortAt)
		at, of := rounded(shortAt[len(shortAt)/2]), shortOf(capacity.Resources)
		capacity.ShortAtS, capacity.ShortOf = &at, &of
	}
	return capacity, f.lateClasses(shares, answered)
}

// unknownCapacity tells of a family of which too little is known.
func (f *family) unknownCapacity(capacity FamilyCapacity) (FamilyCapacity, []ClassLate) {
	var classes []ClassLate
	for _, entry := range f.demands {
		why := entry.unknown
		if why == "" {
			why = "another class of its family is not known"
		} else {
			capacity.Unknown = entry.name() + ": " + why
		}
		classes = append(classes, ClassLate{Class: entry.name(), Family: f.name, Unknown: why})
	}
	return capacity, classes
}

// lateClasses gives the classes of the family with their intervals, the wider, the fewer of
// the nodes have told what they saw.
func (f *family) lateClasses(shares map[*demand][]float64, answered float64) []ClassLate {
	var classes []ClassLate
	for _, entry := range f.demands {
		predicted := ClassLate{Class: entry.name(), Family: f.name}
		if of := shares[entry]; len(of) == 0 {
			predicted.Unknown = "no surge on its family"
		} else {
			mean, deviation := stat.MeanStdDev(of, nil)
			if len(of) < 2 {
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

// waits are the mean waits of the windows, in ms; -1 for one without requests.
func (w *world) waits() []float64 {
	waits := make([]float64, len(w.windows))
	for i, at := range w.windows {
		waits[i] = -1
		if all := at.placed + at.refused; all > 0 {
			waits[i] = at.waitMs / float64(all)
		}
	}
	return waits
}

// AnyLate tells whether any class turns late.
func (a *Report) AnyLate() bool {
	return slices.ContainsFunc(a.Classes, func(c ClassLate) bool { return c.Late != nil && *c.Late })
}

// JSON writes the report, its members in their order.
func (a *Report) JSON(writer io.Writer) error {
	return WriteJSON(writer, a)
}

// WriteJSON writes a value, indented.
func WriteJSON(writer io.Writer, value any) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// Table writes the report for people.
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
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", capacity.Family, resource.Resource, percent(resource.UsedNow), percent(resource.UsedSurge), times(resource.FactorLeft), short)
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
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s to %s\n", class.Class, class.Family, late, percent(class.LateShare), percent(class.Low), percent(class.High))
	}
	return table.Flush()
}

func percent(part *float64) string {
	if part == nil {
		return "unknown"
	}
	return fmt.Sprintf("%.0f%%", *part*100)
}

func times(factor *float64) string {
	if factor == nil {
		return "-"
	}
	return fmt.Sprintf("%.2f times", *factor)
}
