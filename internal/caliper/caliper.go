// Package caliper checks an operator's configuration: its shape with CUE, and in
// Go what crosses fields. The daemons and the command line use the same code.
package caliper

import (
	_ "embed"
	"fmt"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"
	cuejson "cuelang.org/go/encoding/json"

	"lemonarch/internal/jig"
)

//go:embed schema.cue
var schemaText string

// Caliper holds the compiled schema.
type Caliper struct {
	context *cue.Context
	schema  cue.Value
	uses    int
}

// usesBeforeRenewal bounds what the CUE context gathers: it never forgets values.
const usesBeforeRenewal = 64

// New compiles the schema.
func New() (*Caliper, error) {
	caliper := &Caliper{}
	return caliper, caliper.renew()
}

func (caliper *Caliper) renew() error {
	caliper.context = cuecontext.New()
	caliper.uses = 0
	value := caliper.context.CompileString(schemaText)
	if failure := value.Err(); failure != nil {
		return jig.Unreadable.Wrap(failure, "schema")
	}
	caliper.schema = value.LookupPath(cue.ParsePath("#Configuration"))
	return jig.Unreadable.Wrap(caliper.schema.Err(), "schema")
}

// Check gives the configuration or every finding against it.
func (caliper *Caliper) Check(body []byte) (*jig.Config, []string) {
	config, failure := jig.Parse(body)
	if failure != nil {
		return nil, []string{failure.Error()}
	}
	findings := caliper.shape(body)
	findings = append(findings, crossing(config)...)
	return config, findings
}

func (caliper *Caliper) shape(body []byte) []string {
	if caliper.uses++; caliper.uses > usesBeforeRenewal {
		if failure := caliper.renew(); failure != nil {
			return []string{failure.Error()}
		}
	}
	expression, failure := cuejson.Extract("configuration", body)
	if failure != nil {
		return []string{"can't be read: " + failure.Error()}
	}
	value := caliper.context.BuildExpr(expression).Unify(caliper.schema)
	var findings []string
	for _, one := range errors.Errors(value.Validate(cue.Concrete(true))) {
		findings = append(findings, one.Error())
	}
	return findings
}

// crossing checks what no single field shows.
func crossing(config *jig.Config) []string {
	var findings []string
	places := map[string]string{}
	for index := range config.Routes {
		route := &config.Routes[index]
		place := route.Host + route.Prefix
		if other, taken := places[place]; taken {
			findings = append(findings, fmt.Sprintf("channels: %s and %s share host and path-prefix %s", other, route.Name, place))
		}
		places[place] = route.Name
		total := 0.0
		for _, share := range route.Weighted {
			total += share.Share
			if config.Service(share.Backend) == nil {
				findings = append(findings, fmt.Sprintf("channels: %s names the unknown service %q", route.Name, share.Backend))
			}
		}
		if len(route.Weighted) > 0 && total <= 0 {
			findings = append(findings, fmt.Sprintf("channels: the shares of %s add up to 0", route.Name))
		}
		if len(route.Weighted) == 0 && config.Service(route.Backend) == nil {
			findings = append(findings, fmt.Sprintf("channels: %s names the unknown service %q", route.Name, route.Backend))
		}
	}
	return findings
}
