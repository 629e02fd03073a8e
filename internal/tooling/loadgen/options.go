package loadgen

import (
	"fmt"
	"strings"
	"time"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/tooling/lab"
)

// Options describe the load to send.
type Options struct {
	// Rate is the number of requests a second, JobRate the number of batch jobs a second, and Items
	// the number of items of each job.
	Rate, JobRate float64
	Items         int
	// Sessions is the number of clients that send their next request the moment the previous response
	// is complete, each on a connection that it keeps for as long as its gateway lets it.
	Sessions int
	// ReadsConfig is set to read the configuration from every controller again and again.
	ReadsConfig bool
	// Mix is the mix of the kinds of requests.
	Mix []Share
	// For is how long requests are sent.
	For clock.Duration
	// Count is the largest number of requests; 0 means that only For limits it.
	Count int
	// MaxAttempts is the largest number of attempts of a request, the first included.
	MaxAttempts int
	// Seed determines all random draws of the load.
	Seed int64
	// PlannedOnly is set if the fleet is only subject to planned work, not to faults. A request
	// that a worker ran must then receive a complete response: if its connection ends before that,
	// this is a finding.
	PlannedOnly bool
	// Progress, if not nil, is called periodically with a line about the progress of the load.
	Progress func(text string)
}

// NewOptions returns the default options.
func NewOptions() Options {
	mix, _ := ParseMix("query=6,review=1,confirm=2,status=3")
	return Options{Rate: 40, JobRate: 0.3, Items: 10, Mix: mix, For: 15 * time.Second, MaxAttempts: 2, Seed: 1}
}

// Check returns an error about the first option that is out of range, or nil.
func (o *Options) Check() error {
	switch {
	case !(o.Rate > 0 && o.Rate <= constants.LoadRate):
		return ErrInvalidLoad.New(fmt.Sprintf("rate must be above 0 and at most %d", constants.LoadRate))
	case !(o.JobRate >= 0 && o.JobRate <= constants.LoadRate):
		return ErrInvalidLoad.New(fmt.Sprintf("lots must be between 0 and %d", constants.LoadRate))
	case o.Items < 1 || o.Items > constants.JobItemsMax:
		return ErrInvalidLoad.New(fmt.Sprintf("items must be between 1 and %d", constants.JobItemsMax))
	case o.For <= 0 || o.For > constants.LoadTime:
		return ErrInvalidLoad.New(fmt.Sprintf("for must be above 0 and at most %s", constants.LoadTime))
	case o.Count < 0 || o.Count > constants.LoadCount:
		return ErrInvalidLoad.New(fmt.Sprintf("count must be between 0 and %d", constants.LoadCount))
	case o.Sessions < 0 || o.Sessions > constants.LoadInFlightMax:
		return ErrInvalidLoad.New(fmt.Sprintf("sessions must be between 0 and %d", constants.LoadInFlightMax))
	case o.MaxAttempts < 1 || o.MaxAttempts > 5:
		return ErrInvalidLoad.New("tries must be between 1 and 5")
	}
	return nil
}

// routesOf returns the fleet's routes by name. It returns an error if the route of a kind that the
// options use is missing.
func (o *Options) routesOf(info *lab.FleetInfo) (map[string]*routeconfig.Route, error) {
	routes := map[string]*routeconfig.Route{}
	for i := range info.Routes {
		routes[info.Routes[i].Name] = &info.Routes[i]
	}
	required := []string{}
	for _, share := range o.Mix {
		required = append(required, share.Kind)
	}
	if o.JobRate > 0 {
		required = append(required, "batch")
	}
	for _, name := range required {
		if routes[name] == nil {
			return nil, ErrInvalidLoad.New("the fleet's configuration has no route named " + name)
		}
	}
	return routes, nil
}

// Experiment is the content of a TOML experiment file: the load, the fleets that are compared, and
// the troubles with their times.
type Experiment struct {
	Rate        float64 `toml:"rate"`
	JobRate     float64 `toml:"lots"`
	Items       int     `toml:"items"`
	Sessions    int     `toml:"sessions"`
	Mix         string  `toml:"mix"`
	ForS        float64 `toml:"for-s"`
	Count       int     `toml:"count"`
	MaxAttempts int     `toml:"tries"`
	Seed        int64   `toml:"seed"`
	// PlannedOnly is Options.PlannedOnly.
	PlannedOnly bool          `toml:"planned-only"`
	Fleets      []lab.Plan    `toml:"fleet"`
	Trouble     []lab.Trouble `toml:"trouble"`
}

// Finding is one violation of a rule that the fleet must keep.
type Finding struct {
	Rule    string `json:"rule"`
	Attempt string `json:"attempt"`
	Detail  string `json:"what"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	return strings.TrimSpace(f.Rule + " " + f.Attempt + ": " + f.Detail)
}
