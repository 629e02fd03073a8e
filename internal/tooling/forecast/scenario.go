// Package forecast predicts the effects of an expected traffic surge on a fleet: how much capacity each
// model family has if the surge is added to the present traffic, which family runs short first, and
// which classes of requests become late. The prediction does no I/O and is deterministic: the same
// scenario, fleet state and seed result in the same report, byte for byte.
package forecast

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"lemonarch/internal/configuration/cueshape"
)

//go:embed schema.cue
var schemaText string

// Scenario is the what-if that an operator describes: surges, families, and workers to exclude.
type Scenario struct {
	// HorizonS is how far the forecast extends from now, in seconds. The default, if it is 0, is 10 s
	// after the end of the last surge (horizonAfterSurgeS).
	HorizonS   float64     `json:"horizon-s"`
	Surges     []Surge     `json:"surges"`
	Families   []Family    `json:"families"`
	Exclusions []Exclusion `json:"without"`
}

// Surge is traffic that is added to the present traffic for a time.
type Surge struct {
	Name string `json:"name"`
	// StartS and DurationS are in seconds from now.
	StartS    float64   `json:"start-s"`
	DurationS float64   `json:"duration-s"`
	Traffic   []Traffic `json:"traffic"`
}

// Traffic is the traffic of one route in a surge. Exactly one of Rate, Factor and Items is set.
type Traffic struct {
	Route string `json:"route"`
	// Rate is in requests per second, in addition to the present ones.
	Rate *float64 `json:"rate"`
	// Factor is the total traffic of the route as a multiple of the present traffic.
	Factor *float64 `json:"factor"`
	// Items is the total number of items of batch jobs, spread over the surge. Each is due DueS
	// seconds after its arrival; the default, if DueS is 0, is the time configured for the route.
	Items int     `json:"items"`
	DueS  float64 `json:"due-s"`
	// PromptTokens, FreshTokens and Events are means per request: tokens of the prompt, tokens of
	// the prompt that no worker has cached, and events of the response. The observed mean is used
	// for each that is omitted.
	PromptTokens *float64 `json:"prompt-tokens"`
	FreshTokens  *float64 `json:"fresh-tokens"`
	Events       *float64 `json:"events"`
}

// Family is a set of models or services whose capacity is predicted together. An empty list matches
// every name.
type Family struct {
	Name     string   `json:"name"`
	Models   []string `json:"models"`
	Services []string `json:"services"`
}

// Exclusion removes workers for the forecast: all workers of a zone, or some workers of a service.
type Exclusion struct {
	Zone    string `json:"zone"`
	Service string `json:"service"`
	Workers int    `json:"workers"`
}

// Read parses a scenario in TOML. If it is not valid, Read returns all findings, each with its field.
func Read(text []byte) (*Scenario, []string) {
	values := map[string]any{}
	if _, err := toml.Decode(string(text), &values); err != nil {
		return nil, []string{"not readable as TOML: " + strings.ReplaceAll(err.Error(), "\n", " ")}
	}
	// Encodes first, since cueshape.Findings removes wrong values from its argument.
	encoded, err := json.Marshal(values)
	if err != nil {
		return nil, []string{"not readable as values: " + err.Error()}
	}
	if findings := cueshape.Findings(schemaText, "#Scenario", values, missingFields(values)); len(findings) > 0 {
		return nil, findings
	}
	scenario := &Scenario{}
	if err = json.Unmarshal(encoded, scenario); err != nil {
		return nil, []string{"not readable as values: " + err.Error()}
	}
	if findings := scenario.checkCrossFields(); len(findings) > 0 {
		return nil, findings
	}
	if scenario.HorizonS == 0 {
		for _, surge := range scenario.Surges {
			scenario.HorizonS = max(scenario.HorizonS, surge.StartS+surge.DurationS+horizonAfterSurgeS)
		}
	}
	return scenario, nil
}

// missingFields returns a finding for each required field that is missing: CUE reports only one of
// several.
func missingFields(values map[string]any) []string {
	var findings []string
	surges, ok := values["surges"].([]map[string]any)
	if !ok {
		return []string{"surges: missing"}
	}
	require := func(path string, table map[string]any, names ...string) {
		for _, name := range names {
			if _, set := table[name]; !set {
				findings = append(findings, path+"."+name+": missing")
			}
		}
	}
	for i, surge := range surges {
		path := fmt.Sprintf("surges[%d]", i)
		require(path, surge, "name", "duration-s", "traffic")
		traffic, _ := surge["traffic"].([]map[string]any)
		for j, table := range traffic {
			require(fmt.Sprintf("%s.traffic[%d]", path, j), table, "route")
		}
	}
	families, _ := values["families"].([]map[string]any)
	for i, family := range families {
		require(fmt.Sprintf("families[%d]", i), family, "name")
	}
	return findings
}

// checkCrossFields checks the rules that concern several fields.
func (q *Scenario) checkCrossFields() []string {
	findings := q.checkSurges()
	findings = append(findings, q.checkFamilies()...)
	for i, exclusion := range q.Exclusions {
		if (exclusion.Zone == "") == (exclusion.Service == "") {
			findings = append(findings, fmt.Sprintf("without[%d]: one of zone and service must be set", i))
		}
		if exclusion.Service != "" && exclusion.Workers == 0 {
			findings = append(findings, fmt.Sprintf("without[%d].workers: must be set together with service", i))
		}
	}
	return findings
}

func (q *Scenario) checkSurges() (findings []string) {
	names := map[string]bool{}
	for i, surge := range q.Surges {
		if names[surge.Name] {
			findings = append(findings, fmt.Sprintf("surges[%d].name: %q is used twice", i, surge.Name))
		}
		names[surge.Name] = true
		for j := range surge.Traffic {
			findings = append(findings, surge.Traffic[j].check(fmt.Sprintf("surges[%d].traffic[%d]", i, j))...)
		}
	}
	return findings
}

// check checks the rules that concern several fields of the traffic. path is its position in the
// file, for the findings.
func (t *Traffic) check(path string) (findings []string) {
	set := 0
	for _, present := range []bool{t.Rate != nil, t.Factor != nil, t.Items > 0} {
		if present {
			set++
		}
	}
	if set != 1 {
		findings = append(findings, fmt.Sprintf("%s: one of rate, factor and items must be set, found %d", path, set))
	}
	if t.DueS > 0 && t.Items == 0 {
		findings = append(findings, path+".due-s: only valid together with items")
	}
	return findings
}

func (q *Scenario) checkFamilies() (findings []string) {
	names := map[string]bool{}
	for i, family := range q.Families {
		if names[family.Name] {
			findings = append(findings, fmt.Sprintf("families[%d].name: %q is used twice", i, family.Name))
		}
		names[family.Name] = true
		if len(family.Models)+len(family.Services) == 0 {
			findings = append(findings, fmt.Sprintf("families[%d]: models or services must be set", i))
		}
		for _, other := range q.Families[:i] {
			if family.overlaps(&other) {
				findings = append(findings, fmt.Sprintf("families[%d]: overlaps with %q", i, other.Name))
			}
		}
	}
	return findings
}

// overlaps reports whether a service and model could belong to both families.
func (f *Family) overlaps(other *Family) bool {
	intersect := func(left, right []string) bool {
		return len(left) == 0 || len(right) == 0 ||
			slices.ContainsFunc(left, func(name string) bool { return slices.Contains(right, name) })
	}
	return intersect(f.Models, other.Models) && intersect(f.Services, other.Services)
}

// familyOf returns the name of the family of a service and model: one of the scenario's families, or
// else a family of that service and model only.
func (q *Scenario) familyOf(service, model string) string {
	name := service
	if model != "" {
		name += "/" + model
	}
	for i := range q.Families {
		if q.Families[i].includes(service, model) {
			name = q.Families[i].Name
		}
	}
	return name
}

// includes reports whether a service and model belong to the family.
func (f *Family) includes(service, model string) bool {
	return (len(f.Models) == 0 || slices.Contains(f.Models, model)) && (len(f.Services) == 0 || slices.Contains(f.Services, service))
}
