package forecastcases

import (
	"fmt"
	"io"
	"text/tabwriter"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/tooling/forecast"
)

// ErrCase is the error of a case that can't be asked about.
var ErrCase = errs.Define("case")

// Before the surge a case is observed for ObservedS seconds; the surge lasts SurgeS, and
// AfterS more are played so that what it left is done.
const (
	ObservedS = 30.0
	SurgeS    = 15.0
	AfterS    = 5.0
)

// Result is a case, what was forecast, and what came.
type Result struct {
	Case  int    `json:"case"`
	Meant string `json:"meant"`
	// Named and Tightened are the family that was forecast to run short first and the one that
	// did, empty for none; ShortOf is of what.
	Named     string `json:"named"`
	ShortOf   string `json:"short-of"`
	Tightened string `json:"tightened"`
	// NamedAtS and TightenedAtS are seconds from the surge's beginning, -1 for never.
	NamedAtS     float64       `json:"named-at-s"`
	TightenedAtS float64       `json:"tightened-at-s"`
	Classes      []ClassResult `json:"classes"`
}

// ClassResult is the late share of a class as it was forecast and as it came.
type ClassResult struct {
	Class     string  `json:"class"`
	Predicted float64 `json:"predicted"`
	Observed  float64 `json:"observed"`
}

// RightFamily tells whether the family that was named is the one that tightened.
func (r *Result) RightFamily() bool { return r.Named == r.Tightened }

// Right tells whether the class was called late as it came.
func (c *ClassResult) Right() bool {
	return (c.Predicted > forecast.LateShare) == (c.Observed > forecast.LateShare)
}

// Play forecasts a case, brings its surge about, and compares.
func Play(c *Case, seed uint64) (*Result, error) {
	from := clock.Instant(0).Add(clock.Milliseconds(ObservedS * 1000))
	until := from.Add(clock.Milliseconds(SurgeS * 1000))
	var fleets []*fleet
	for i, plan := range c.families {
		f := newFleet(plan, seed*100+uint64(i), from, until)
		f.runUntil(from - 1)
		fleets = append(fleets, f)
	}
	report, err := ask(c, fleets, seed)
	if err != nil {
		return nil, err
	}
	result := NewResult(c, report)
	for i, f := range fleets {
		f.runUntil(until.Add(clock.Milliseconds(AfterS * 1000)))
		if at := f.tightenedAtS(); at >= 0 {
			result.Tighten(c.families[i].name, at)
		}
		result.AddClass(c.families[i].name, f.late, f.all, report)
	}
	return result, nil
}

// NewResult begins the result of a case with what was forecast.
func NewResult(c *Case, report *forecast.Report) *Result {
	result := &Result{Case: c.Number, Meant: c.Short, NamedAtS: -1, TightenedAtS: -1}
	for _, capacity := range report.Families {
		if report.FirstShort != nil && capacity.Family == *report.FirstShort {
			result.Named, result.ShortOf, result.NamedAtS = c.nameOf(capacity.Family), *capacity.ShortOf, *capacity.ShortAtS
		}
	}
	return result
}

// Tighten notes that a family was short so many seconds after the surge began; the first counts.
func (r *Result) Tighten(family string, atS float64) {
	if r.TightenedAtS < 0 || atS < r.TightenedAtS {
		r.Tightened, r.TightenedAtS = family, atS
	}
}

// AddClass adds the late share of a class as it came, beside what was predicted.
func (r *Result) AddClass(name string, late, all int, report *forecast.Report) {
	class := ClassResult{Class: name}
	if all > 0 {
		class.Observed = float64(late) / float64(all)
	}
	for _, predicted := range report.Classes {
		if predicted.Class == name && predicted.LateShare != nil {
			class.Predicted = *predicted.LateShare
		}
	}
	r.Classes = append(r.Classes, class)
}

// nameOf gives the plan's name of a family that the forecast names by service and model.
func (c *Case) nameOf(family string) string {
	for _, plan := range c.families {
		if family == plan.name || family == plan.name+"/"+plan.name {
			return plan.name
		}
	}
	return family
}

// ask asks for the forecast with what the fleets have observed.
func ask(c *Case, fleets []*fleet, seed uint64) (*forecast.Report, error) {
	config := routeconfig.Config{Generation: 1}
	known := &forecast.Known{ObservedS: ObservedS, Answered: 1}
	for i, plan := range c.families {
		route := routeconfig.Route{Name: plan.name, Host: "h", Prefix: "/" + plan.name + "/", KindName: "idempotent", Backend: plan.name, SetpointMs: plan.class.targetMs, CutoffMs: 10_000}
		if plan.class.work == 0 {
			route.KindName, route.Affine, route.GapMs = "streaming", true, plan.class.gapMs
		}
		config.Routes = append(config.Routes, route)
		config.Services = append(config.Services, routeconfig.Service{Name: plan.name, ConnLimit: 1000,
			Engine: &routeconfig.Engine{Capacity: plan.shape.Capacity, CacheTokens: plan.shape.CacheTokens}})
		known.Workers = append(known.Workers, messages.WorkerGroup{Service: plan.name, Zone: "z", Workers: plan.engines, Slots: plan.engines * plan.shape.Capacity})
		summaries, _ := fleets[i].recorder.Summaries(fleets[i].now)
		known.Summaries = append(known.Summaries, summaries...)
	}
	var err error
	if known.Config, err = routeconfig.Parse(config.Encode()); err != nil {
		return nil, ErrCase.Wrap(err, "configuration")
	}
	return c.Forecast(known, seed)
}

// Forecast forecasts the surge of the case from what is known of its fleet.
func (c *Case) Forecast(known *forecast.Known, seed uint64) (*forecast.Report, error) {
	surge := forecast.Surge{Name: "surge", DurationS: SurgeS}
	for _, plan := range c.families {
		surge.Traffic = append(surge.Traffic, forecast.Traffic{Route: plan.name, Rate: &plan.surge})
	}
	scenario := &forecast.Scenario{HorizonS: SurgeS + AfterS, Surges: []forecast.Surge{surge}}
	report, findings := forecast.Forecast(scenario, known, seed)
	if len(findings) > 0 {
		return nil, ErrCase.New(findings[0])
	}
	return report, nil
}

// Summary counts how many of the results came out as they were forecast.
type Summary struct {
	Cases        int `json:"cases"`
	RightFamily  int `json:"right-family"`
	Classes      int `json:"classes"`
	RightClasses int `json:"right-classes"`
}

// Summarize counts.
func Summarize(results []*Result) Summary {
	summary := Summary{}
	for _, result := range results {
		summary.Cases++
		if result.RightFamily() {
			summary.RightFamily++
		}
		for i := range result.Classes {
			summary.Classes++
			if result.Classes[i].Right() {
				summary.RightClasses++
			}
		}
	}
	return summary
}

// JSON writes results and their summary.
func JSON(writer io.Writer, results []*Result) error {
	return forecast.WriteJSON(writer, struct {
		Summary Summary   `json:"summary"`
		Results []*Result `json:"results"`
	}{Summarize(results), results})
}

// Table writes them for people.
func Table(writer io.Writer, results []*Result) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "case\tmeant\tnamed\tof\tat s\ttightened\tat s\tright\tclasses predicted, observed")
	none := func(name string) string {
		if name == "" {
			return "none"
		}
		return name
	}
	for _, result := range results {
		classes := ""
		for i := range result.Classes {
			class := &result.Classes[i]
			mark := ""
			if !class.Right() {
				mark = "!"
			}
			classes += fmt.Sprintf("%.2f,%.2f%s ", class.Predicted, class.Observed, mark)
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%.0f\t%s\t%.0f\t%v\t%s\n", result.Case, result.Meant, none(result.Named), none(result.ShortOf), result.NamedAtS,
			none(result.Tightened), result.TightenedAtS, result.RightFamily(), classes)
	}
	summary := Summarize(results)
	fmt.Fprintf(table, "\nright family: %d of %d; right classes: %d of %d\n", summary.RightFamily, summary.Cases, summary.RightClasses, summary.Classes)
	return table.Flush()
}
