package treadle

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"

	"github.com/BurntSushi/toml"

	"lemonarch/internal/almanac"
	"lemonarch/internal/errand"
	"lemonarch/internal/sawhorse"
	"lemonarch/internal/watch"
)

// ReadExperiment reads and checks a file; what it leaves out is as usual. programs is
// the folder of programs of fleets that name none.
func ReadExperiment(text, programs string) (*Experiment, Options, error) {
	usual := NewOptions()
	one := &Experiment{Rate: usual.Rate, LotRate: usual.LotRate, Items: usual.Items, ForS: usual.For.Seconds(), Tries: usual.Tries, Seed: usual.Seed}
	// Fleets are read twice: each begins with what is usual.
	var count struct {
		Fleets []map[string]any `toml:"fleet"`
	}
	if _, failure := toml.Decode(text, &count); failure != nil {
		return nil, usual, Unfit.New("experiment can't be read: " + strings.ReplaceAll(failure.Error(), "\n", " "))
	}
	for place := range count.Fleets {
		plan := sawhorse.NewPlan()
		plan.Label, plan.Programs = "fleet-"+strconv.Itoa(place+1), programs
		plan.Network = networkOf(place)
		one.Fleets = append(one.Fleets, plan)
	}
	if len(one.Fleets) == 0 {
		plan := sawhorse.NewPlan()
		plan.Programs = programs
		one.Fleets = []sawhorse.Plan{plan}
	}
	known, failure := toml.Decode(text, one)
	if failure != nil {
		return nil, usual, Unfit.New("experiment can't be read: " + strings.ReplaceAll(failure.Error(), "\n", " "))
	}
	if extra := known.Undecoded(); len(extra) > 0 {
		return nil, usual, Unfit.New("experiment: unknown field " + extra[0].String())
	}
	options := usual
	options.Rate, options.LotRate, options.Items, options.Count, options.Tries, options.Seed = one.Rate, one.LotRate, one.Items, one.Count, one.Tries, one.Seed
	options.For = watch.Milliseconds(one.ForS * 1000)
	if one.Mix != "" {
		if options.Mix, failure = ParseMix(one.Mix); failure != nil {
			return nil, options, failure
		}
	}
	if failure = options.Check(); failure != nil {
		return nil, options, failure
	}
	return one, options, one.check(options)
}

func (one *Experiment) check(options Options) error {
	processes := 0
	seen := map[string]bool{}
	for place := range one.Fleets {
		plan := &one.Fleets[place]
		if failure := plan.Check(); failure != nil {
			return Unfit.New(plan.Label + ": " + failure.Error())
		}
		if seen[plan.Network] || seen[plan.Label] {
			return Unfit.New("two fleets have the same label or network: " + plan.Label)
		}
		seen[plan.Network], seen[plan.Label] = true, true
		processes += plan.Forges + plan.Foremen + plan.Lockers
	}
	if processes > almanac.LabProcesses {
		return Unfit.New(fmt.Sprintf("the fleets have %d processes together; at most %d", processes, almanac.LabProcesses))
	}
	for place := range one.Trouble {
		trouble := &one.Trouble[place]
		if failure := trouble.Check(); failure != nil {
			return Unfit.New("trouble " + strconv.Itoa(place+1) + ": " + failure.Error())
		}
		if watch.Milliseconds(trouble.AtS*1000) >= options.For {
			return Unfit.New("trouble " + strconv.Itoa(place+1) + ": at-s lies behind the end of the load")
		}
	}
	return nil
}

// networkOf gives the addresses of one of several fleets.
func networkOf(place int) string {
	base := net.ParseIP(almanac.LabNetwork + ".0").To4()
	return fmt.Sprintf("%d.%d.%d", base[0], base[1], int(base[2])+place)
}

// Run starts the fleets, sends the same load to all of them at the same time with
// the same troubles, and ends them.
func (one *Experiment) Run(until errand.Errand, options Options) ([]*Result, error) {
	var fleets []*sawhorse.Fleet
	defer func() {
		var group sync.WaitGroup
		for _, fleet := range fleets {
			group.Add(1)
			go func() {
				defer group.Done()
				fleet.Stop()
			}()
		}
		group.Wait()
	}()
	for _, plan := range one.Fleets {
		if until.Err() != nil {
			return nil, Unfit.New("stopped")
		}
		fleet, failure := sawhorse.Start(until, plan, "")
		if failure != nil {
			return nil, Unfit.New(plan.Label + ": " + failure.Error())
		}
		fleets = append(fleets, fleet)
		if options.Progress != nil {
			options.Progress(plan.Label + " is ready")
		}
	}
	// A death ends the whole experiment: what is left would be compared unequally.
	inner, halt := errand.Stoppable(until)
	defer halt()
	deaths := make(chan error, len(fleets))
	results, failures := make([]*Result, len(fleets)), make([]error, len(fleets))
	var group sync.WaitGroup
	for place, fleet := range fleets {
		go func() {
			select {
			case failure := <-fleet.Died:
				deaths <- Unfit.New(fleet.Plan.Label + ": " + failure.Error())
				halt()
			case <-inner.Done():
			}
		}()
		group.Add(1)
		go func() {
			defer group.Done()
			desk, failure := OpenDesk(fleet.Plan.Desk())
			if failure == nil {
				results[place], failure = Drive(inner, options, desk, one.Trouble)
			}
			failures[place] = failure
		}()
	}
	group.Wait()
	select {
	case failure := <-deaths:
		return nil, failure
	default:
	}
	for place, failure := range failures {
		if failure != nil {
			return nil, failure
		}
		results[place].Close()
	}
	return results, nil
}
