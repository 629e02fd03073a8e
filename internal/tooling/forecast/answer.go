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

// Answer is a forecast. Its members and their order are stable.
type Answer struct {
	Families []FamilyRoom `json:"families"`
	// FirstShort is the family that runs short first; nil where none does.
	FirstShort *string     `json:"first-short"`
	Classes    []ClassLate `json:"classes"`
	// NodesAnswered counts the gateways and stores whose traffic is known, NodesMissing names
	// the others. ObservedS is the time that the traffic was observed, in seconds.
	NodesAnswered int      `json:"nodes-answered"`
	NodesMissing  []string `json:"nodes-missing"`
	ObservedS     float64  `json:"observed-s"`
}

// FamilyRoom is the room of a family.
type FamilyRoom struct {
	Family    string     `json:"family"`
	Resources []Resource `json:"resources"`
	// ShortAtS is when it runs short, in seconds from now, and ShortOf of what; nil where it
	// does not in most of the runs, or where Unknown says why nothing is told.
	ShortAtS *float64 `json:"short-at-s"`
	ShortOf  *string  `json:"short-of"`
	Unknown  string   `json:"unknown,omitempty"`
	// waits are the mean waits by second of a run, for the plot.
	waits []float64
}

// ClassLate tells whether a class turns late in the surge. Late is nil, as are the shares,
// where Unknown says why nothing is told.
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

// Forecast answers a question from what is known. Findings say what of the question the fleet
// does not know; there is no answer then.
func Forecast(question *Question, known *Known, seed uint64) (*Answer, []string) {
	joined, findings := demands(question, known)
	if len(findings) > 0 {
		return nil, findings
	}
	answer := &Answer{Families: []FamilyRoom{}, Classes: []ClassLate{}, NodesAnswered: known.Answered,
		NodesMissing: append([]string{}, known.Missing...), ObservedS: rounded(known.ObservedS)}
	slices.Sort(answer.NodesMissing)
	earliest := math.Inf(1)
	for _, each := range families(question, joined, known.services(question.Without)) {
		room, classes := each.forecast(question.HorizonS*1000, seed, known.answeredShare())
		answer.Families = append(answer.Families, room)
		answer.Classes = append(answer.Classes, classes...)
		if room.ShortAtS != nil && *room.ShortAtS < earliest {
			earliest, answer.FirstShort = *room.ShortAtS, &answer.Families[len(answer.Families)-1].Family
		}
	}
	if answer.FirstShort != nil {
		// A copy: the list may have moved as it grew.
		name := *answer.FirstShort
		answer.FirstShort = &name
	}
	slices.SortStableFunc(answer.Classes, func(left, right ClassLate) int { return strings.Compare(left.Class, right.Class) })
	return answer, nil
}

// forecast tells of one family.
func (f *family) forecast(horizonMs float64, seed uint64, answered float64) (FamilyRoom, []ClassLate) {
	room := FamilyRoom{Family: f.name, Resources: f.rooms()}
	if !f.known() {
		return f.unknownRoom(room)
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
			room.waits = w.waits()
		}
	}
	if len(shortAt) > repetitions/2 {
		slices.Sort(shortAt)
		at, of := rounded(shortAt[len(shortAt)/2]), shortOf(room.Resources)
		room.ShortAtS, room.ShortOf = &at, &of
	}
	return room, f.lateClasses(shares, answered)
}

// unknownRoom tells of a family of which too little is known.
func (f *family) unknownRoom(room FamilyRoom) (FamilyRoom, []ClassLate) {
	var classes []ClassLate
	for _, entry := range f.demands {
		why := entry.unknown
		if why == "" {
			why = "another class of its family is not known"
		} else {
			room.Unknown = entry.name() + ": " + why
		}
		classes = append(classes, ClassLate{Class: entry.name(), Family: f.name, Unknown: why})
	}
	return room, classes
}

// lateClasses gives the classes of the family with their intervals, the wider, the fewer of
// the nodes have told what they saw.
func (f *family) lateClasses(shares map[*demand][]float64, answered float64) []ClassLate {
	var classes []ClassLate
	for _, entry := range f.demands {
		told := ClassLate{Class: entry.name(), Family: f.name}
		if of := shares[entry]; len(of) == 0 {
			told.Unknown = "no surge on its family"
		} else {
			mean, deviation := stat.MeanStdDev(of, nil)
			if len(of) < 2 {
				deviation = 0
			}
			width := 2 * deviation / math.Sqrt(max(answered, 0.01))
			share, low, high := rounded(mean), rounded(max(mean-width, 0)), rounded(min(mean+width, 1))
			late := mean > lateShare
			told.Late, told.LateShare, told.Low, told.High = &late, &share, &low, &high
		}
		classes = append(classes, told)
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
func (a *Answer) AnyLate() bool {
	return slices.ContainsFunc(a.Classes, func(c ClassLate) bool { return c.Late != nil && *c.Late })
}

// JSON writes the answer, its members in their order.
func (a *Answer) JSON(writer io.Writer) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(a)
}

// Table writes the answer for people.
func (a *Answer) Table(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	first := "none runs short"
	if a.FirstShort != nil {
		first = "first to run short: " + *a.FirstShort
	}
	fmt.Fprintf(table, "%s\nobserved for %.0f s by %d nodes, %d missing\n\n", first, a.ObservedS, a.NodesAnswered, len(a.NodesMissing))
	fmt.Fprintln(table, "family\tresource\tnow\tsurge\tfits\tshort")
	for _, room := range a.Families {
		for _, resource := range room.Resources {
			short := ""
			if room.ShortOf != nil && *room.ShortOf == resource.Resource {
				short = fmt.Sprintf("at %.0f s", *room.ShortAtS)
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", room.Family, resource.Resource, percent(resource.UsedNow), percent(resource.UsedSurge), times(resource.FactorLeft), short)
		}
		if room.Unknown != "" {
			fmt.Fprintf(table, "%s\tunknown: %s\n", room.Family, room.Unknown)
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
