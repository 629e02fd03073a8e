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

// ReadExperiment decodes and checks the text of an experiment file. Settings that it omits have
// their defaults. programs is the folder of the programs for fleets that name none.
func ReadExperiment(text, programs string) (*Experiment, Options, error) {
	defaults := NewOptions()
	experiment := &Experiment{Rate: defaults.Rate, JobRate: defaults.JobRate, Items: defaults.Items, ForS: defaults.For.Seconds(), MaxAttempts: defaults.MaxAttempts, Seed: defaults.Seed}
	// The file is decoded twice: the first pass counts the fleets, so that each fleet can be given
	// its defaults before the second.
	var counted struct {
		Fleets []map[string]any `toml:"fleet"`
	}
	if _, err := toml.Decode(text, &counted); err != nil {
		return nil, defaults, ErrInvalidLoad.New("experiment can't be read: " + strings.ReplaceAll(err.Error(), "\n", " "))
	}
	for i := range counted.Fleets {
		plan := lab.NewPlan()
		plan.Label, plan.Programs = "fleet-"+strconv.Itoa(i+1), programs
		plan.Network = networkOf(i)
		experiment.Fleets = append(experiment.Fleets, plan)
	}
	if len(experiment.Fleets) == 0 {
		plan := lab.NewPlan()
		plan.Programs = programs
		experiment.Fleets = []lab.Plan{plan}
	}
	metadata, err := toml.Decode(text, experiment)
	if err != nil {
		return nil, defaults, ErrInvalidLoad.New("experiment can't be read: " + strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if extra := metadata.Undecoded(); len(extra) > 0 {
		return nil, defaults, ErrInvalidLoad.New("experiment has unknown field " + extra[0].String())
	}
	options := defaults
	options.Sessions = experiment.Sessions
	options.Rate, options.JobRate, options.Items, options.Count, options.MaxAttempts, options.Seed = experiment.Rate, experiment.JobRate, experiment.Items, experiment.Count, experiment.MaxAttempts, experiment.Seed
	options.PlannedOnly = experiment.PlannedOnly
	options.For = clock.Milliseconds(experiment.ForS * 1000)
	if experiment.Mix != "" {
		if options.Mix, err = ParseMix(experiment.Mix); err != nil {
			return nil, options, err
		}
	}
	if err = options.Check(); err != nil {
		return nil, options, err
	}
	return experiment, options, experiment.check(options)
}

func (e *Experiment) check(options Options) error {
	processes := 0
	used := map[string]bool{}
	for i := range e.Fleets {
		plan := &e.Fleets[i]
		if err := plan.Check(); err != nil {
			return ErrInvalidLoad.New(plan.Label + ": " + err.Error())
		}
		if used[plan.Network] || used[plan.Label] {
			return ErrInvalidLoad.New("two fleets have the same label or network: " + plan.Label)
		}
		used[plan.Network], used[plan.Label] = true, true
		processes += plan.Gateways + plan.Controllers + plan.Stores
	}
	if processes > constants.LabProcesses {
		return ErrInvalidLoad.New(fmt.Sprintf("the fleets have %d processes together, want at most %d", processes, constants.LabProcesses))
	}
	for i := range e.Trouble {
		trouble := &e.Trouble[i]
		if err := trouble.Check(); err != nil {
			return ErrInvalidLoad.New("trouble " + strconv.Itoa(i+1) + ": " + err.Error())
		}
		if clock.Milliseconds(trouble.AtS*1000) >= options.For {
			return ErrInvalidLoad.New("trouble " + strconv.Itoa(i+1) + ": at-s is behind the end of the load")
		}
	}
	return nil
}

// networkOf returns the network, the first three bytes of the addresses, of the fleet at
// index i.
func networkOf(i int) string {
	base := net.ParseIP(constants.LabNetwork + ".0").To4()
	return fmt.Sprintf("%d.%d.%d", base[0], base[1], int(base[2])+i)
}

// Run starts the fleets, sends the same load with the same troubles to all of them at the same
// time, and stops them.
func (e *Experiment) Run(ctx contexts.Context, options Options) ([]*Result, error) {
	fleets, err := e.start(ctx, options.Progress)
	defer stop(fleets)
	if err != nil {
		return nil, err
	}
	// If a process of a fleet exits unexpectedly, end the whole experiment: the results of the
	// fleets would not be comparable.
	runCtx, cancel := contexts.WithCancel(ctx)
	defer cancel()
	fleetFailures := make(chan error, len(fleets))
	results, failures := make([]*Result, len(fleets)), make([]error, len(fleets))
	var group sync.WaitGroup
	for i, fleet := range fleets {
		go func() {
			select {
			case err := <-fleet.Failed:
				fleetFailures <- ErrInvalidLoad.New(fleet.Plan.Label + ": " + err.Error())
				cancel()
			case <-runCtx.Done():
			}
		}()
		group.Go(func() { results[i], failures[i] = e.drive(runCtx, options, fleet) })
	}
	group.Wait()
	select {
	case err := <-fleetFailures:
		return nil, err
	default:
	}
	for i, err := range failures {
		if err != nil {
			return nil, err
		}
		results[i].Finalize()
	}
	return results, nil
}

// start starts the fleets one after the other. If one fails, it returns those that have started
// and the error.
func (e *Experiment) start(ctx contexts.Context, progress func(string)) (fleets []*lab.Fleet, err error) {
	for _, plan := range e.Fleets {
		if ctx.Err() != nil {
			return fleets, ErrInvalidLoad.New("stopped before all fleets had started")
		}
		fleet, err := lab.Start(ctx, plan, "")
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

// stop stops all fleets concurrently.
func stop(fleets []*lab.Fleet) {
	var group sync.WaitGroup
	for _, fleet := range fleets {
		group.Go(fleet.Stop)
	}
	group.Wait()
}

// drive sends the load to one fleet.
func (e *Experiment) drive(ctx contexts.Context, options Options, fleet *lab.Fleet) (*Result, error) {
	endpoint, err := OpenEndpoint(fleet.Plan.Endpoint())
	if err != nil {
		return nil, err
	}
	return Drive(ctx, options, endpoint, e.Trouble)
}
