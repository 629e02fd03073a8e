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

// Options say what load is sent.
type Options struct {
	// Rate is requests a second, LotRate lots a second, of so many Items each.
	Rate, LotRate float64
	Items         int
	Mix           []Share
	For           clock.Duration
	// Count bounds the requests; 0 is up to the time.
	Count int
	// Tries is how often a client tries in all.
	Tries int
	Seed  int64
	// PlannedOnly says that nothing but planned work befalls the fleet: a request that a worker
	// ran must then be answered, and a connection that ends without an answer is a finding.
	PlannedOnly bool
	// Progress, where set, is told now and then how far the load is.
	Progress func(text string)
}

// NewOptions gives what is used where nothing else is said.
func NewOptions() Options {
	mix, _ := ParseMix("query=6,review=1,confirm=2,status=3")
	return Options{Rate: 40, LotRate: 0.3, Items: 10, Mix: mix, For: 15 * time.Second, Tries: 2, Seed: 1}
}

// Check gives the first thing that stands in the way.
func (o *Options) Check() error {
	switch {
	case !(o.Rate > 0 && o.Rate <= constants.LoadRate):
		return ErrInvalidLoad.New(fmt.Sprintf("rate must be above 0 and at most %d", constants.LoadRate))
	case !(o.LotRate >= 0 && o.LotRate <= constants.LoadRate):
		return ErrInvalidLoad.New(fmt.Sprintf("lots must lie between 0 and %d", constants.LoadRate))
	case o.Items < 1 || o.Items > constants.JobItemsMax:
		return ErrInvalidLoad.New(fmt.Sprintf("items must lie between 1 and %d", constants.JobItemsMax))
	case o.For <= 0 || o.For > constants.LoadTime:
		return ErrInvalidLoad.New(fmt.Sprintf("for must be above 0 and at most %s", constants.LoadTime))
	case o.Count < 0 || o.Count > constants.LoadCount:
		return ErrInvalidLoad.New(fmt.Sprintf("count must lie between 0 and %d", constants.LoadCount))
	case o.Tries < 1 || o.Tries > 5:
		return ErrInvalidLoad.New("tries must lie between 1 and 5")
	}
	return nil
}

// routesOf finds the route of each kind that the options name.
func (o *Options) routesOf(card *lab.Card) (map[string]*routeconfig.Route, error) {
	routes := map[string]*routeconfig.Route{}
	for i := range card.Routes {
		routes[card.Routes[i].Name] = &card.Routes[i]
	}
	wanted := []string{}
	for _, share := range o.Mix {
		wanted = append(wanted, share.Kind)
	}
	if o.LotRate > 0 {
		wanted = append(wanted, "batch")
	}
	for _, name := range wanted {
		if routes[name] == nil {
			return nil, ErrInvalidLoad.New("the fleet's configuration has no route called " + name)
		}
	}
	return routes, nil
}

// Experiment is what a TOML file says: the load, the fleets side by side, and what
// breaks when.
type Experiment struct {
	Rate    float64 `toml:"rate"`
	LotRate float64 `toml:"lots"`
	Items   int     `toml:"items"`
	Mix     string  `toml:"mix"`
	ForS    float64 `toml:"for-s"`
	Count   int     `toml:"count"`
	Tries   int     `toml:"tries"`
	Seed    int64   `toml:"seed"`
	// PlannedOnly is Options.PlannedOnly.
	PlannedOnly bool          `toml:"planned-only"`
	Fleets      []lab.Plan    `toml:"fleet"`
	Trouble     []lab.Trouble `toml:"trouble"`
}

// Finding is one broken promise.
type Finding struct {
	Rule    string `json:"rule"`
	Attempt string `json:"attempt"`
	What    string `json:"what"`
}

// String gives it on one line.
func (f Finding) String() string {
	return strings.TrimSpace(f.Rule + " " + f.Attempt + ": " + f.What)
}
