package forecast

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/traffic/trafficstats"
)

// ErrRecord is returned if a forecast record or plot can't be written, or a record can't be read.
var ErrRecord = errs.Define("forecast record")

// Record is a forecast together with the data that it is based on, for a later review.
type Record struct {
	Scenario  *Scenario   `json:"asked"`
	State     *FleetState `json:"known"`
	Predicted *Report     `json:"predicted"`
}

// recordFile is the JSON form of Record. It embeds the configuration in its own JSON encoding.
type recordFile struct {
	Asked     *Scenario                 `json:"asked"`
	Config    json.RawMessage           `json:"configuration"`
	ObservedS float64                   `json:"observed-s"`
	Summaries []messages.TrafficSummary `json:"summaries"`
	Workers   []messages.WorkerGroup    `json:"workers"`
	Answered  int                       `json:"answered"`
	Missing   []string                  `json:"missing"`
	Predicted *Report                   `json:"predicted"`
}

// Write writes the forecast to a file atomically: it writes a temporary file and renames it.
func (k *Record) Write(path string) error {
	state := k.State
	body, err := json.MarshalIndent(recordFile{Asked: k.Scenario, Config: state.Config.Encode(), ObservedS: state.ObservedS,
		Summaries: state.Summaries, Workers: state.Workers, Answered: state.Answered, Missing: state.Missing, Predicted: k.Predicted}, "", "  ")
	if err != nil {
		return ErrRecord.Wrap(err, path)
	}
	temporary := path + ".new"
	if err = os.WriteFile(temporary, append(body, '\n'), 0o644); err != nil {
		return ErrRecord.Wrap(err, path)
	}
	return ErrRecord.Wrap(os.Rename(temporary, path), path)
}

// ReadRecord reads a forecast from a file that Record.Write wrote.
func ReadRecord(path string) (*Record, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrRecord.Wrap(err, path)
	}
	file := recordFile{}
	if err = json.Unmarshal(body, &file); err != nil {
		return nil, ErrRecord.Wrap(err, path)
	}
	if file.Asked == nil || file.Predicted == nil {
		return nil, ErrRecord.New(path + ": asked or predicted is missing")
	}
	config, err := routeconfig.Parse(file.Config)
	if err != nil {
		return nil, ErrRecord.Wrap(err, path+": configuration")
	}
	state := &FleetState{Config: config, ObservedS: file.ObservedS, Summaries: file.Summaries, Workers: file.Workers, Answered: file.Answered, Missing: file.Missing}
	return &Record{Scenario: file.Asked, State: state, Predicted: file.Predicted}, nil
}

// Review compares a forecast with what was observed afterwards.
type Review struct {
	// PredictedFirstShort is the family that was predicted to run short of capacity first;
	// ObservedShort is the one that exceeded its bounds most. Each is nil if there is none. Agrees
	// reports whether both are the same family or both are nil.
	PredictedFirstShort *string       `json:"predicted-first-short"`
	ObservedShort       *string       `json:"tightened"`
	Agrees              bool          `json:"agrees"`
	Classes             []ClassReview `json:"classes"`
}

// ClassReview compares the prediction for a class with the observation. Observed is the share of
// requests that were late, rejected or failed; nil if too few requests were observed. Agrees is nil if
// Observed is nil or nothing was predicted.
type ClassReview struct {
	Class         string   `json:"class"`
	Family        string   `json:"family"`
	PredictedLate *bool    `json:"predicted-late"`
	Predicted     *float64 `json:"predicted-late-share"`
	Observed      *float64 `json:"observed-late-share"`
	// WaitMs is the mean wait in the queue, in ms.
	WaitMs float64 `json:"wait-ms"`
	Agrees *bool   `json:"agrees"`
}

// NewReview compares a forecast with what the fleet has observed since. The family that ran short is
// the one that exceeds its bounds by the largest factor, either for the mean wait (ShortWaitMs) or
// for the share of rejected requests (ShortRejections).
func NewReview(record *Record, observed *FleetState) *Review {
	review := &Review{PredictedFirstShort: record.Predicted.FirstShort, Classes: []ClassReview{}}
	worstExcess := 1.0
	for i := range observed.Summaries {
		summary := &observed.Summaries[i]
		predicted := record.predictionOf(summary)
		if predicted == nil {
			continue
		}
		class := ClassReview{Class: predicted.Class, Family: predicted.Family, PredictedLate: predicted.Late, Predicted: predicted.LateShare}
		total := summary.Served + summary.Rejected + summary.Failed
		class.WaitMs = rounded(trafficstats.Decode(&summary.QueueWait).Mean() / 10)
		if route := observed.routeNamed(summary.Route); total >= observationsMin && route != nil {
			share := rounded(lateShareOf(summary, route))
			class.Observed = &share
			if class.PredictedLate != nil {
				agrees := *class.PredictedLate == (share > LateShare)
				class.Agrees = &agrees
			}
		}
		if total > 0 && !summary.Bulk {
			excess := max(class.WaitMs/ShortWaitMs, float64(summary.Rejected)/float64(total)/ShortRejections)
			if excess > worstExcess {
				name := predicted.Family
				worstExcess, review.ObservedShort = excess, &name
			}
		}
		review.Classes = append(review.Classes, class)
	}
	slices.SortStableFunc(review.Classes, func(left, right ClassReview) int { return strings.Compare(left.Class, right.Class) })
	review.Agrees = (review.PredictedFirstShort == nil) == (review.ObservedShort == nil) && (review.PredictedFirstShort == nil || *review.PredictedFirstShort == *review.ObservedShort)
	return review
}

// predictionOf returns the prediction for the class of a summary, or nil if there is none.
func (k *Record) predictionOf(summary *messages.TrafficSummary) *ClassForecast {
	family := k.Scenario.familyOf(summary.Service, summary.Model)
	for i := range k.Predicted.Classes {
		if predicted := &k.Predicted.Classes[i]; predicted.Class == summary.Route && predicted.Family == family {
			return predicted
		}
	}
	return nil
}

// lateShareOf returns the share of a class's requests that were rejected, failed, or exceeded a
// latency target: that for the first event (or the response) or that for the gap between events.
func lateShareOf(summary *messages.TrafficSummary, route *routeconfig.Route) float64 {
	total := float64(summary.Served + summary.Rejected + summary.Failed)
	late := float64(summary.Rejected + summary.Failed)
	first, target := &summary.FirstEvent, float64(route.Setpoint().Milliseconds())
	if len(summary.EventGap.Counts) == 0 {
		first = &summary.Duration
	}
	lateFirst := shareAbove(first, target)
	lateGap := 0.0
	if route.GapMs > 0 {
		lateGap = shareAbove(&summary.EventGap, route.GapMs)
	}
	return min((late+max(lateFirst, lateGap)*float64(summary.Served))/total, 1)
}

// shareAbove returns the share of a histogram's values that are above a bound in ms. The histogram
// counts in tenths of a millisecond.
func shareAbove(encoded *messages.Histogram, boundMs float64) float64 {
	histogram := trafficstats.Decode(encoded)
	if histogram.TotalCount() == 0 {
		return 0
	}
	above := int64(0)
	for _, bar := range histogram.Distribution() {
		if float64(bar.From)/10 > boundMs {
			above += bar.Count
		}
	}
	return float64(above) / float64(histogram.TotalCount())
}

// JSON writes the review as indented JSON.
func (r *Review) JSON(writer io.Writer) error {
	return WriteJSON(writer, r)
}

// Table writes the review as a human-readable table.
func (r *Review) Table(writer io.Writer) error {
	name := func(family *string) string {
		if family == nil {
			return "none"
		}
		return *family
	}
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "predicted first short: %s\ntightened: %s\nagrees: %v\n\n", name(r.PredictedFirstShort), name(r.ObservedShort), r.Agrees)
	fmt.Fprintln(table, "class\tfamily\ttold\tcame\twait ms\tagrees")
	for _, class := range r.Classes {
		agrees := "-"
		if class.Agrees != nil {
			agrees = fmt.Sprint(*class.Agrees)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.1f\t%s\n", class.Class, class.Family, formatPercent(class.Predicted), formatPercent(class.Observed), class.WaitMs, agrees)
	}
	return table.Flush()
}
