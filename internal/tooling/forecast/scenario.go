// Package forecast tells, before a surge that is foreseen, how much capacity each model family has
// if that traffic lands on top of present work, which family runs short first, and which kinds
// of request would turn late. It has no I/O: the same scenario, the same known state and the
// same seed give the same report, byte for byte.
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

// Scenario is what an operator asks: surges, families, and what is to be thought away.
type Scenario struct {
	// HorizonS is how far the forecast looks, in seconds; 0 is to 10 s after the last surge.
	HorizonS float64   `json:"horizon-s"`
	Surges   []Surge   `json:"surges"`
	Families []Family  `json:"families"`
	Without  []Without `json:"without"`
}

// Surge is traffic that comes for a time on top of the present.
type Surge struct {
	Name string `json:"name"`
	// StartS and DurationS are in seconds from now.
	StartS    float64   `json:"start-s"`
	DurationS float64   `json:"duration-s"`
	Traffic   []Traffic `json:"traffic"`
}

// Traffic is the traffic of one route in a surge. One of Rate, Factor and Items is set.
type Traffic struct {
	Route string `json:"route"`
	// Rate is requests a second beside the present ones.
	Rate *float64 `json:"rate"`
	// Factor is how many times the present traffic of the route comes in all.
	Factor *float64 `json:"factor"`
	// Items is how many items of batch jobs come in all, spread over the surge, each due
	// DueS seconds after it came; 0 takes the route's own time.
	Items int     `json:"items"`
	DueS  float64 `json:"due-s"`
	// PromptTokens, FreshTokens and Events are means by request: of the prompt, of what no
	// worker has cached, of the events that go out. What is left out is as observed.
	PromptTokens *float64 `json:"prompt-tokens"`
	FreshTokens  *float64 `json:"fresh-tokens"`
	Events       *float64 `json:"events"`
}

// Family is models or services whose capacity is predicted together.
type Family struct {
	Name     string   `json:"name"`
	Models   []string `json:"models"`
	Services []string `json:"services"`
}

// Without is a what-if: a zone's workers, or some of a service's, are away.
type Without struct {
	Zone    string `json:"zone"`
	Service string `json:"service"`
	Workers int    `json:"workers"`
}

// Read gives the scenario of a TOML file, or every finding against it, each with its field.
func Read(text []byte) (*Scenario, []string) {
	values := map[string]any{}
	if _, err := toml.Decode(string(text), &values); err != nil {
		return nil, []string{"not readable as TOML: " + strings.ReplaceAll(err.Error(), "\n", " ")}
	}
	// The check takes wrong values out of what it is given.
	encoded, err := json.Marshal(values)
	if err != nil {
		return nil, []string{"not readable as values: " + err.Error()}
	}
	if findings := cueshape.Findings(schemaText, "#Scenario", values, missing(values)); len(findings) > 0 {
		return nil, findings
	}
	scenario := &Scenario{}
	if err = json.Unmarshal(encoded, scenario); err != nil {
		return nil, []string{"not readable as values: " + err.Error()}
	}
	if findings := scenario.crossing(); len(findings) > 0 {
		return nil, findings
	}
	if scenario.HorizonS == 0 {
		for _, surge := range scenario.Surges {
			scenario.HorizonS = max(scenario.HorizonS, surge.StartS+surge.DurationS+horizonAfterSurgeS)
		}
	}
	return scenario, nil
}

// missing finds tables that lack what they must have: CUE tells only one of several.
func missing(values map[string]any) []string {
	var findings []string
	surges, there := values["surges"].([]map[string]any)
	if !there {
		return []string{"surges: missing"}
	}
	need := func(where string, table map[string]any, names ...string) {
		for _, name := range names {
			if _, known := table[name]; !known {
				findings = append(findings, where+"."+name+": missing")
			}
		}
	}
	for i, surge := range surges {
		where := fmt.Sprintf("surges[%d]", i)
		need(where, surge, "name", "duration-s", "traffic")
		traffic, _ := surge["traffic"].([]map[string]any)
		for j, entry := range traffic {
			need(fmt.Sprintf("%s.traffic[%d]", where, j), entry, "route")
		}
	}
	families, _ := values["families"].([]map[string]any)
	for i, family := range families {
		need(fmt.Sprintf("families[%d]", i), family, "name")
	}
	return findings
}

// crossing checks what no single field shows.
func (q *Scenario) crossing() []string {
	findings := q.crossingSurges()
	findings = append(findings, q.crossingFamilies()...)
	for i, away := range q.Without {
		if (away.Zone == "") == (away.Service == "") {
			findings = append(findings, fmt.Sprintf("without[%d]: one of zone and service is wanted", i))
		}
		if away.Service != "" && away.Workers == 0 {
			findings = append(findings, fmt.Sprintf("without[%d].workers: goes with service", i))
		}
	}
	return findings
}

func (q *Scenario) crossingSurges() (findings []string) {
	names := map[string]bool{}
	for i, surge := range q.Surges {
		if names[surge.Name] {
			findings = append(findings, fmt.Sprintf("surges[%d].name: %q stands twice", i, surge.Name))
		}
		names[surge.Name] = true
		for j := range surge.Traffic {
			findings = append(findings, surge.Traffic[j].crossing(fmt.Sprintf("surges[%d].traffic[%d]", i, j))...)
		}
	}
	return findings
}

// crossing checks the traffic that stands at a place of the file.
func (t *Traffic) crossing(where string) (findings []string) {
	set := 0
	for _, is := range []bool{t.Rate != nil, t.Factor != nil, t.Items > 0} {
		if is {
			set++
		}
	}
	if set != 1 {
		findings = append(findings, fmt.Sprintf("%s: one of rate, factor and items is wanted, not %d", where, set))
	}
	if t.DueS > 0 && t.Items == 0 {
		findings = append(findings, where+".due-s: goes with items")
	}
	return findings
}

func (q *Scenario) crossingFamilies() (findings []string) {
	names := map[string]bool{}
	for i, family := range q.Families {
		if names[family.Name] {
			findings = append(findings, fmt.Sprintf("families[%d].name: %q stands twice", i, family.Name))
		}
		names[family.Name] = true
		if len(family.Models)+len(family.Services) == 0 {
			findings = append(findings, fmt.Sprintf("families[%d]: models or services are wanted", i))
		}
		for _, other := range q.Families[:i] {
			if family.overlaps(&other) {
				findings = append(findings, fmt.Sprintf("families[%d]: overlaps with %q", i, other.Name))
			}
		}
	}
	return findings
}

// overlaps tells whether a service and model could belong to both families.
func (f *Family) overlaps(other *Family) bool {
	share := func(left, right []string) bool {
		return len(left) == 0 || len(right) == 0 ||
			slices.ContainsFunc(left, func(name string) bool { return slices.Contains(right, name) })
	}
	return share(f.Models, other.Models) && share(f.Services, other.Services)
}

// familyOf names the family of a service and model: one of the scenario's, or one of its own.
func (q *Scenario) familyOf(service, model string) string {
	name := service
	if model != "" {
		name += "/" + model
	}
	for i := range q.Families {
		if q.Families[i].has(service, model) {
			name = q.Families[i].Name
		}
	}
	return name
}

// has tells whether a service and model belong to the family.
func (f *Family) has(service, model string) bool {
	return (len(f.Models) == 0 || slices.Contains(f.Models, model)) && (len(f.Services) == 0 || slices.Contains(f.Services, service))
}
