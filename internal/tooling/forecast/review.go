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

// ErrRecord is the error of a file of a forecast that can't be written or read.
var ErrRecord = errs.Define("forecast record")

// Record is a forecast with what it stands on, for a later review.
type Record struct {
	Asked     *Scenario `json:"asked"`
	Known     *Known    `json:"known"`
	Predicted *Report   `json:"predicted"`
}

// recordFile is Record as it is written: the configuration as its own JSON.
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

// Write writes the forecast to a file: the whole of it, or nothing.
func (k *Record) Write(path string) error {
	known := k.Known
	body, err := json.MarshalIndent(recordFile{Asked: k.Asked, Config: known.Config.Encode(), ObservedS: known.ObservedS,
		Summaries: known.Summaries, Workers: known.Workers, Answered: known.Answered, Missing: known.Missing, Predicted: k.Predicted}, "", "  ")
	if err != nil {
		return ErrRecord.Wrap(err, path)
	}
	temporary := path + ".new"
	if err = os.WriteFile(temporary, append(body, '\n'), 0o644); err != nil {
		return ErrRecord.Wrap(err, path)
	}
	return ErrRecord.Wrap(os.Rename(temporary, path), path)
}

// ReadRecord reads a forecast that was kept.
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
	known := &Known{Config: config, ObservedS: file.ObservedS, Summaries: file.Summaries, Workers: file.Workers, Answered: file.Answered, Missing: file.Missing}
	return &Record{Asked: file.Asked, Known: known, Predicted: file.Predicted}, nil
}

// Review compares a forecast with what came.
type Review struct {
	// Predicted is the family that was to run short first, Tightened the one that did; nil for none.
	Predicted *string       `json:"predicted-first-short"`
	Tightened *string       `json:"tightened"`
	Agrees    bool          `json:"agrees"`
	Classes   []ClassReview `json:"classes"`
}

// ClassReview compares a class. Observed is the share that was late or refused; nil where too few
// requests were observed.
type ClassReview struct {
	Class         string   `json:"class"`
	Family        string   `json:"family"`
	PredictedLate *bool    `json:"predicted-late"`
	Predicted     *float64 `json:"predicted-late-share"`
	Observed      *float64 `json:"observed-late-share"`
	// WaitMs is the mean wait in the queue.
	WaitMs float64 `json:"wait-ms"`
	Agrees *bool   `json:"agrees"`
}

// NewReview compares a forecast with what the fleet has observed since. Which family tightened is
// measured: the one whose requests waited longest over the bound, or of which more than the
// bound were refused (constants ShortWaitMs and ShortRefusals).
func NewReview(kept *Record, seen *Known) *Review {
	review := &Review{Predicted: kept.Predicted.FirstShort, Classes: []ClassReview{}}
	worst := 1.0
	for i := range seen.Summaries {
		summary := &seen.Summaries[i]
		predicted := kept.predictionOf(summary)
		if predicted == nil {
			continue
		}
		class := ClassReview{Class: predicted.Class, Family: predicted.Family, PredictedLate: predicted.Late, Predicted: predicted.LateShare}
		all := summary.Served + summary.Rejected + summary.Failed
		class.WaitMs = rounded(trafficstats.Decode(&summary.QueueWait).Mean() / 10)
		if route := seen.routeNamed(summary.Route); all >= observedMin && route != nil {
			share := rounded(lateShareOf(summary, route))
			class.Observed = &share
			if class.PredictedLate != nil {
				agrees := *class.PredictedLate == (share > LateShare)
				class.Agrees = &agrees
			}
		}
		if all > 0 && !summary.Bulk {
			tightness := max(class.WaitMs/ShortWaitMs, float64(summary.Rejected)/float64(all)/ShortRefusals)
			if tightness > worst {
				name := predicted.Family
				worst, review.Tightened = tightness, &name
			}
		}
		review.Classes = append(review.Classes, class)
	}
	slices.SortStableFunc(review.Classes, func(left, right ClassReview) int { return strings.Compare(left.Class, right.Class) })
	review.Agrees = (review.Predicted == nil) == (review.Tightened == nil) && (review.Predicted == nil || *review.Predicted == *review.Tightened)
	return review
}

// predictionOf finds what was predicted of a summary's class.
func (k *Record) predictionOf(summary *messages.TrafficSummary) *ClassLate {
	family := k.Asked.familyOf(summary.Service, summary.Model)
	for i := range k.Predicted.Classes {
		if predicted := &k.Predicted.Classes[i]; predicted.Class == summary.Route && predicted.Family == family {
			return predicted
		}
	}
	return nil
}

// lateShareOf is the share of a class's requests that were refused, failed, or late by their
// time to the first event or between events.
func lateShareOf(summary *messages.TrafficSummary, route *routeconfig.Route) float64 {
	all := float64(summary.Served + summary.Rejected + summary.Failed)
	late := float64(summary.Rejected + summary.Failed)
	first, target := &summary.FirstEvent, float64(route.Setpoint().Milliseconds())
	if len(summary.EventGap.Counts) == 0 {
		first = &summary.Duration
	}
	overFirst := over(first, target)
	overGap := 0.0
	if route.GapMs > 0 {
		overGap = over(&summary.EventGap, route.GapMs)
	}
	return min((late+max(overFirst, overGap)*float64(summary.Served))/all, 1)
}

// over is the share of a histogram's values above a bound in ms.
func over(encoded *messages.Histogram, boundMs float64) float64 {
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

// JSON writes the review.
func (r *Review) JSON(writer io.Writer) error {
	return WriteJSON(writer, r)
}

// Table writes the review for people.
func (r *Review) Table(writer io.Writer) error {
	name := func(family *string) string {
		if family == nil {
			return "none"
		}
		return *family
	}
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "predicted first short: %s\ntightened: %s\nagrees: %v\n\n", name(r.Predicted), name(r.Tightened), r.Agrees)
	fmt.Fprintln(table, "class\tfamily\ttold\tcame\twait ms\tagrees")
	for _, class := range r.Classes {
		agrees := "-"
		if class.Agrees != nil {
			agrees = fmt.Sprint(*class.Agrees)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%.1f\t%s\n", class.Class, class.Family, percent(class.Predicted), percent(class.Observed), class.WaitMs, agrees)
	}
	return table.Flush()
}
