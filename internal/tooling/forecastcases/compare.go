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

// ErrCase is returned if a case can't be forecast.
var ErrCase = errs.Define("case")

// The phases of a case, in seconds: its traffic is observed for ObservedS before the surge, the surge
// lasts SurgeS, and the case continues for AfterS so that requests left from the surge complete.
const (
	ObservedS = 30.0
	SurgeS    = 15.0
	AfterS    = 5.0
)

// Result is the outcome of a case: what was predicted and what was observed.
type Result struct {
	Case             int    `json:"case"`
	IntendedShortage string `json:"meant"`
	// PredictedShort is the family that was predicted to run short first, and ShortOf the predicted
	// resource; ObservedShort is the family that did run short first. Each is empty if there is none.
	PredictedShort string `json:"named"`
	ShortOf        string `json:"short-of"`
	ObservedShort  string `json:"tightened"`
	// PredictedShortAtS and ObservedShortAtS are in seconds from the start of the surge, -1 for never.
	PredictedShortAtS float64       `json:"named-at-s"`
	ObservedShortAtS  float64       `json:"tightened-at-s"`
	Classes           []ClassResult `json:"classes"`
}

// ClassResult is the late share of a class as predicted and as observed.
type ClassResult struct {
	Class     string  `json:"class"`
	Predicted float64 `json:"predicted"`
	Observed  float64 `json:"observed"`
}

// FamilyCorrect reports whether the predicted family is the one that ran short, or neither exists.
func (r *Result) FamilyCorrect() bool { return r.PredictedShort == r.ObservedShort }

// Correct reports whether the prediction that the class is late or not late was right.
func (c *ClassResult) Correct() bool {
	return (c.Predicted > forecast.LateShare) == (c.Observed > forecast.LateShare)
}

// Run forecasts a case, simulates its surge, and compares the prediction with the observation.
func Run(c *Case, seed uint64) (*Result, error) {
	from := clock.Instant(0).Add(clock.Milliseconds(ObservedS * 1000))
	until := from.Add(clock.Milliseconds(SurgeS * 1000))
	var simulations []*familySimulation
	for i, plan := range c.families {
		f := newFamilySimulation(plan, seed*100+uint64(i), from, until)
		f.runUntil(from - 1)
		simulations = append(simulations, f)
	}
	report, err := forecastCase(c, simulations, seed)
	if err != nil {
		return nil, err
	}
	result := NewResult(c, report)
	for i, f := range simulations {
		f.runUntil(until.Add(clock.Milliseconds(AfterS * 1000)))
		if seconds := f.shortAtS(); seconds >= 0 {
			result.RecordShortage(c.families[i].name, seconds)
		}
		result.AddClass(c.families[i].name, f.surgeLate, f.surgeTotal, report)
	}
	return result, nil
}

// NewResult returns the result of a case with the prediction filled in.
func NewResult(c *Case, report *forecast.Report) *Result {
	result := &Result{Case: c.Number, IntendedShortage: c.Shortage, PredictedShortAtS: -1, ObservedShortAtS: -1}
	for _, capacity := range report.Families {
		if report.FirstShort != nil && capacity.Family == *report.FirstShort {
			result.PredictedShort, result.ShortOf, result.PredictedShortAtS = c.nameOf(capacity.Family), *capacity.ShortOf, *capacity.ShortAtS
		}
	}
	return result
}

// RecordShortage records that a family was short atS seconds after the start of the surge. Only the
// earliest shortage is kept.
func (r *Result) RecordShortage(family string, atS float64) {
	if r.ObservedShortAtS < 0 || atS < r.ObservedShortAtS {
		r.ObservedShort, r.ObservedShortAtS = family, atS
	}
}

// AddClass adds the observed late share of a class, next to the predicted one.
func (r *Result) AddClass(name string, late, total int, report *forecast.Report) {
	class := ClassResult{Class: name}
	if total > 0 {
		class.Observed = float64(late) / float64(total)
	}
	for _, predicted := range report.Classes {
		if predicted.Class == name && predicted.LateShare != nil {
			class.Predicted = *predicted.LateShare
		}
	}
	r.Classes = append(r.Classes, class)
}

// nameOf returns the plan's name of a family, which the forecast names by service, or by service and
// model.
func (c *Case) nameOf(family string) string {
	for _, plan := range c.families {
		if family == plan.name || family == plan.name+"/"+plan.name {
			return plan.name
		}
	}
	return family
}

// forecastCase forecasts a case from the traffic that the simulated families have recorded.
func forecastCase(c *Case, simulations []*familySimulation, seed uint64) (*forecast.Report, error) {
	config := routeconfig.Config{Generation: 1}
	state := &forecast.FleetState{ObservedS: ObservedS, Answered: 1}
	for i, plan := range c.families {
		route := routeconfig.Route{Name: plan.name, Host: "h", Prefix: "/" + plan.name + "/", KindName: "idempotent", Backend: plan.name, SetpointMs: plan.class.targetMs, CutoffMs: 10_000}
		if plan.class.work == 0 {
			route.KindName, route.Affine, route.GapMs = "streaming", true, plan.class.gapMs
		}
		config.Routes = append(config.Routes, route)
		config.Services = append(config.Services, routeconfig.Service{Name: plan.name, ConnLimit: 1000,
			Engine: &routeconfig.Engine{Capacity: plan.shape.Capacity, CacheTokens: plan.shape.CacheTokens}})
		state.Workers = append(state.Workers, messages.WorkerGroup{Service: plan.name, Zone: "z", Workers: plan.engines, Slots: plan.engines * plan.shape.Capacity})
		summaries, _ := simulations[i].recorder.Summaries(simulations[i].now)
		state.Summaries = append(state.Summaries, summaries...)
	}
	var err error
	if state.Config, err = routeconfig.Parse(config.Encode()); err != nil {
		return nil, ErrCase.Wrap(err, "configuration")
	}
	return c.Forecast(state, seed)
}

// Forecast predicts the surge of the case from the state of its fleet.
func (c *Case) Forecast(state *forecast.FleetState, seed uint64) (*forecast.Report, error) {
	surge := forecast.Surge{Name: "surge", DurationS: SurgeS}
	for _, plan := range c.families {
		surge.Traffic = append(surge.Traffic, forecast.Traffic{Route: plan.name, Rate: &plan.surgeRate})
	}
	scenario := &forecast.Scenario{HorizonS: SurgeS + AfterS, Surges: []forecast.Surge{surge}}
	report, findings := forecast.Forecast(scenario, state, seed)
	if len(findings) > 0 {
		return nil, ErrCase.New(findings[0])
	}
	return report, nil
}

// Summary counts how many families and classes were predicted correctly.
type Summary struct {
	Cases           int `json:"cases"`
	CorrectFamilies int `json:"right-family"`
	Classes         int `json:"classes"`
	CorrectClasses  int `json:"right-classes"`
}

// Summarize counts the correct predictions of the results.
func Summarize(results []*Result) Summary {
	summary := Summary{}
	for _, result := range results {
		summary.Cases++
		if result.FamilyCorrect() {
			summary.CorrectFamilies++
		}
		for i := range result.Classes {
			summary.Classes++
			if result.Classes[i].Correct() {
				summary.CorrectClasses++
			}
		}
	}
	return summary
}

// JSON writes the results and their summary as indented JSON.
func JSON(writer io.Writer, results []*Result) error {
	return forecast.WriteJSON(writer, struct {
		Summary Summary   `json:"summary"`
		Results []*Result `json:"results"`
	}{Summarize(results), results})
}

// Table writes the results as a human-readable table. A "!" marks a wrongly predicted class.
func Table(writer io.Writer, results []*Result) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "case\tmeant\tnamed\tof\tat s\ttightened\tat s\tright\tclasses predicted, observed")
	orNone := func(name string) string {
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
			if !class.Correct() {
				mark = "!"
			}
			classes += fmt.Sprintf("%.2f,%.2f%s ", class.Predicted, class.Observed, mark)
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%.0f\t%s\t%.0f\t%v\t%s\n", result.Case, result.IntendedShortage, orNone(result.PredictedShort), orNone(result.ShortOf), result.PredictedShortAtS,
			orNone(result.ObservedShort), result.ObservedShortAtS, result.FamilyCorrect(), classes)
	}
	summary := Summarize(results)
	fmt.Fprintf(table, "\nright family: %d of %d; right classes: %d of %d\n", summary.CorrectFamilies, summary.Cases, summary.CorrectClasses, summary.Classes)
	return table.Flush()
}
