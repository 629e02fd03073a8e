// Package configcheck validates an operator's configuration: against a CUE schema, and in
// Go for conditions across fields. The daemons and the command line use the same code.
package configcheck

import (
	_ "embed"
	"fmt"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"
	cuejson "cuelang.org/go/encoding/json"

	"lemonarch/internal/configuration/routeconfig"
)

//go:embed schema.cue
var schemaText string

// Checker validates configurations with a compiled schema.
type Checker struct {
	context *cue.Context
	schema  cue.Value
	// uses is how many texts were checked in the current context.
	uses int
	// checkedBytes is how many bytes were checked in the current context.
	checkedBytes int
}

// usesBeforeRenewal and bytesBeforeRenewal bound the memory of the CUE context: it never
// releases values, and they take many times the length of their text.
const (
	usesBeforeRenewal  = 64
	bytesBeforeRenewal = 128 << 10
)

// New compiles the schema.
func New() (*Checker, error) {
	checker := &Checker{}
	return checker, checker.renew()
}

// renew replaces the CUE context with a new one and compiles the schema in it.
func (c *Checker) renew() error {
	c.context = cuecontext.New()
	c.uses, c.checkedBytes = 0, 0
	value := c.context.CompileString(schemaText)
	if err := value.Err(); err != nil {
		return routeconfig.ErrMalformed.Wrap(err, "schema")
	}
	c.schema = value.LookupPath(cue.ParsePath("#Configuration"))
	return routeconfig.ErrMalformed.Wrap(c.schema.Err(), "schema")
}

// Check returns the configuration and the findings against it; a configuration without findings is
// valid. The configuration is nil if it can't be parsed, or if it is longer than chunkBytes and does
// not match the schema.
//
// The memory used is a small multiple of the body's length, whatever its content.
func (c *Checker) Check(body []byte) (*routeconfig.Config, []string) {
	inChunks := len(body) > chunkBytes
	if inChunks {
		// The schema is checked before parsing: only if the routes are valid is the parsed form
		// not much longer than the body.
		if findings := c.shapeInChunks(body); len(findings) > 0 {
			return nil, findings
		}
	}
	config, err := routeconfig.Parse(body)
	if err != nil {
		return nil, []string{err.Error()}
	}
	var findings []string
	if !inChunks {
		findings = c.shapeFindings(body)
	}
	return config, append(findings, crossFieldFindings(config)...)
}

// shapeFindings returns the findings of the schema against a body.
func (c *Checker) shapeFindings(body []byte) []string {
	c.uses++
	c.checkedBytes += len(body)
	if c.uses > usesBeforeRenewal || c.checkedBytes > bytesBeforeRenewal {
		if err := c.renew(); err != nil {
			return []string{err.Error()}
		}
	}
	expression, err := cuejson.Extract("configuration", body)
	if err != nil {
		return []string{"can't be read: " + err.Error()}
	}
	value := c.context.BuildExpr(expression).Unify(c.schema)
	var findings []string
	for _, validationErr := range errors.Errors(value.Validate(cue.Concrete(true))) {
		findings = append(findings, validationErr.Error())
	}
	return findings
}

// crossFieldFindings checks conditions that involve several fields.
func crossFieldFindings(config *routeconfig.Config) []string {
	var findings []string
	routeNames := map[string]string{}
	for index := range config.Routes {
		route := &config.Routes[index]
		hostPrefix := route.HostPrefix()
		if other, taken := routeNames[hostPrefix]; taken {
			findings = append(findings, fmt.Sprintf("channels: %s and %s share host and path-prefix %s", other, route.Name, hostPrefix))
		}
		routeNames[hostPrefix] = route.Name
		findings = append(findings, serviceFindings(config, route)...)
	}
	return findings
}

// serviceFindings checks the services of a route.
func serviceFindings(config *routeconfig.Config, route *routeconfig.Route) []string {
	var findings []string
	requireKnown := func(backend string) {
		if config.Service(backend) == nil {
			findings = append(findings, fmt.Sprintf("channels: %s names the unknown service %q", route.Name, backend))
		}
	}
	if len(route.Weighted) == 0 {
		requireKnown(route.Backend)
		return findings
	}
	total := 0.0
	for _, share := range route.Weighted {
		total += share.Share
		requireKnown(share.Backend)
	}
	if total <= 0 {
		findings = append(findings, fmt.Sprintf("channels: the shares of %s add up to 0", route.Name))
	}
	return findings
}
