package loadgen

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"

	"github.com/BurntSushi/toml"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/tooling/lab"
)

// ReadExperiment reads and checks a file; what it leaves out is as usual. programs is
// the folder of programs of fleets that name none.
func ReadExperiment(text, programs string) (*Experiment, Options, error) {
	usual := NewOptions()
	entry := &Experiment{Rate: usual.Rate, LotRate: usual.LotRate, Items: usual.Items, ForS: usual.For.Seconds(), Tries: usual.Tries, Seed: usual.Seed}
	// Fleets are read twice: each begins with what is usual.
	var count struct {
		Fleets []map[string]any `toml:"fleet"`
	}
	if _, err := toml.Decode(text, &count); err != nil {
		return nil, usual, ErrInvalidLoad.New("experiment can't be read: " + strings.ReplaceAll(err.Error(), "\n", " "))
	}
	for i := range count.Fleets {
		plan := lab.NewPlan()
		plan.Label, plan.Programs = "fleet-"+strconv.Itoa(i+1), programs
		plan.Network = networkOf(i)
		entry.Fleets = append(entry.Fleets, plan)
	}
	if len(entry.Fleets) == 0 {
		plan := lab.NewPlan()
		plan.Programs = programs
		entry.Fleets = []lab.Plan{plan}
	}
	known, err := toml.Decode(text, entry)
	if err != nil {
		return nil, usual, ErrInvalidLoad.New("experiment can't be read: " + strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if extra := known.Undecoded(); len(extra) > 0 {
		return nil, usual, ErrInvalidLoad.New("experiment: unknown field " + extra[0].String())
	}
	options := usual
	options.Rate, options.LotRate, options.Items, options.Count, options.Tries, options.Seed = entry.Rate, entry.LotRate, entry.Items, entry.Count, entry.Tries, entry.Seed
	options.PlannedOnly = entry.PlannedOnly
	options.For = clock.Milliseconds(entry.ForS * 1000)
	if entry.Mix != "" {
		if options.Mix, err = ParseMix(entry.Mix); err != nil {
			return nil, options, err
		}
	}
	if err = options.Check(); err != nil {
		return nil, options, err
	}
	return entry, options, entry.check(options)
}

func (e *Experiment) check(options Options) error {
	processes := 0
	observed := map[string]bool{}
	for i := range e.Fleets {
		plan := &e.Fleets[i]
		if err := plan.Check(); err != nil {
			return ErrInvalidLoad.New(plan.Label + ": " + err.Error())
		}
		if observed[plan.Network] || observed[plan.Label] {
			return ErrInvalidLoad.New("two fleets have the same label or network: " + plan.Label)
		}
		observed[plan.Network], observed[plan.Label] = true, true
		processes += plan.Gateways + plan.Controllers + plan.Stores
	}
	if processes > constants.LabProcesses {
		return ErrInvalidLoad.New(fmt.Sprintf("the fleets have %d processes together; at most %d", processes, constants.LabProcesses))
	}
	for i := range e.Trouble {
		fault := &e.Trouble[i]
		if err := fault.Check(); err != nil {
			return ErrInvalidLoad.New("trouble " + strconv.Itoa(i+1) + ": " + err.Error())
		}
		if clock.Milliseconds(fault.AtS*1000) >= options.For {
			return ErrInvalidLoad.New("trouble " + strconv.Itoa(i+1) + ": at-s lies behind the end of the load")
		}
	}
	return nil
}

// networkOf gives the addresses of one of several fleets.
func networkOf(i int) string {
	base := net.ParseIP(constants.LabNetwork + ".0").To4()
	return fmt.Sprintf("%d.%d.%d", base[0], base[1], int(base[2])+i)
}

// Run starts the fleets, sends the same load to all of them at the same time with
// the same troubles, and ends them.
func (e *Experiment) Run(until contexts.Context, options Options) ([]*Result, error) {
	fleets, err := e.start(until, options.Progress)
	defer stop(fleets)
	if err != nil {
		return nil, err
	}
	// A death ends the whole experiment: what is left would be compared unequally.
	inner, halt := contexts.WithCancel(until)
	defer halt()
	deaths := make(chan error, len(fleets))
	results, failures := make([]*Result, len(fleets)), make([]error, len(fleets))
	var group sync.WaitGroup
	for i, fleet := range fleets {
		go func() {
			select {
			case err := <-fleet.Died:
				deaths <- ErrInvalidLoad.New(fleet.Plan.Label + ": " + err.Error())
				halt()
			case <-inner.Done():
			}
		}()
		group.Go(func() { results[i], failures[i] = e.drive(inner, options, fleet) })
	}
	group.Wait()
	select {
	case err := <-deaths:
		return nil, err
	default:
	}
	for i, err := range failures {
		if err != nil {
			return nil, err
		}
		results[i].Close()
	}
	return results, nil
}

// start starts the fleets one after the other; those that did are given also where one
// did not.
func (e *Experiment) start(until contexts.Context, progress func(string)) (fleets []*lab.Fleet, err error) {
	for _, plan := range e.Fleets {
		if until.Err() != nil {
			return fleets, ErrInvalidLoad.New("stopped")
		}
		fleet, err := lab.Start(until, plan, "")
		if err != nil {
			return fleets, ErrInvalidLoad.New(plan.Label + ": " + err.Error())
		}
		fleets = append(fleets, fleet)
		if progress != nil {
			progress(plan.Label + " is ready")
		}
	}
	return fleets, nil
}

// stop ends fleets beside each other.
func stop(fleets []*lab.Fleet) {
	var group sync.WaitGroup
	for _, fleet := range fleets {
		group.Go(fleet.Stop)
	}
	group.Wait()
}

// drive sends the load to one of the fleets.
func (e *Experiment) drive(until contexts.Context, options Options, fleet *lab.Fleet) (*Result, error) {
	endpoint, err := OpenEndpoint(fleet.Plan.Endpoint())
	if err != nil {
		return nil, err
	}
	return Drive(until, options, endpoint, e.Trouble)
}
