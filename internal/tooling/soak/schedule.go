// Package soak draws, from a seed, a fleet of the real programs with a series of troubles that
// overlap, sends load to it and holds every answer against what was promised. It shows what
// simulated time can't: sockets, signals, files and schedulers. One seed draws one schedule;
// what real processes make of it may differ from run to run.
package soak

import (
	"bytes"
	"math"
	"math/rand"
	"strconv"

	"github.com/BurntSushi/toml"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/tooling/lab"
	"lemonarch/internal/tooling/loadgen"
)

// ErrInvalidSoak is the error of options that no schedule can be drawn for.
var ErrInvalidSoak = errs.Define("soak")

// Options say what is drawn.
type Options struct {
	Seed int64
	// Duration is how long load is sent.
	Duration clock.Duration
	// Processes is how many gateways, controllers and stores the fleet has at most.
	Processes int
	// Programs is the folder with the programs.
	Programs string
}

// Schedule is what one seed draws.
type Schedule struct {
	Options
	// Planned says that nothing but planned work befalls the fleet: stops in order, SIGHUP,
	// changes of the configuration, workers that leave. Then no request may be cut.
	Planned    bool
	Experiment loadgen.Experiment
}

// Draw draws the schedule of a seed; the same options give the same one.
func Draw(options Options) (*Schedule, error) {
	switch {
	case options.Duration < constants.SoakMinDuration || options.Duration > constants.LoadTime:
		return nil, ErrInvalidSoak.New("duration must lie between " + constants.SoakMinDuration.String() + " and " + constants.LoadTime.String())
	case options.Processes < constants.SoakMinProcesses || options.Processes > constants.LabProcesses:
		return nil, ErrInvalidSoak.New("processes must lie between " + strconv.Itoa(constants.SoakMinProcesses) + " and " + strconv.Itoa(constants.LabProcesses))
	}
	d := drawer{random: rand.New(rand.NewSource(options.Seed)), end: options.Duration.Seconds() - constants.SoakQuietEnd.Seconds()}
	schedule := &Schedule{Options: options, Planned: d.random.Intn(2) == 0}
	plan := lab.NewPlan()
	plan.Label, plan.Programs, plan.Seed = "soak-"+strconv.FormatInt(options.Seed, 10), options.Programs, options.Seed
	d.sizes(&plan, options.Processes)
	schedule.Experiment = loadgen.Experiment{Rate: 80, LotRate: 0.5, Items: 10, ForS: options.Duration.Seconds(), Tries: 2, Seed: options.Seed,
		PlannedOnly: schedule.Planned, Fleets: []lab.Plan{plan}}
	d.gateways(plan.Gateways, schedule.Planned)
	d.counted(&plan, schedule.Planned)
	d.configuration()
	d.workers(&plan, schedule.Planned)
	schedule.Experiment.Trouble = d.troubles
	return schedule, nil
}

// Text is the schedule as an experiment file, byte for byte the same for the same options.
func (s *Schedule) Text() (string, error) {
	var text bytes.Buffer
	err := toml.NewEncoder(&text).Encode(s.Experiment)
	return text.String(), ErrInvalidSoak.Wrap(err, "schedule")
}

// drawer draws the parts of a schedule.
type drawer struct {
	random *rand.Rand
	// end is when the last trouble begins, in seconds: after it the fleet has time to recover.
	end      float64
	troubles []lab.Trouble
}

// sizes draws how many processes of each role there are: some fleets as large as is allowed.
func (d *drawer) sizes(plan *lab.Plan, most int) {
	total := most
	if d.random.Intn(3) > 0 {
		total = constants.SoakMinProcesses + d.random.Intn(most-constants.SoakMinProcesses+1)
	}
	sets := []int{3}
	if total >= 2*constants.SoakMinProcesses {
		sets = append(sets, 5)
	}
	plan.Controllers, plan.Stores = sets[d.random.Intn(len(sets))], sets[d.random.Intn(len(sets))]
	plan.Gateways = max(total-plan.Controllers-plan.Stores, 2)
	plan.Workers, plan.Plain = 3+d.random.Intn(4), 2+d.random.Intn(2)
}

func (d *drawer) add(trouble lab.Trouble) {
	trouble.AtS = math.Round(trouble.AtS*100) / 100
	trouble.ForS, trouble.BackS = math.Round(trouble.ForS*100)/100, math.Round(trouble.BackS*100)/100
	d.troubles = append(d.troubles, trouble)
}

// series calls a function at times with a mean gap between them, in seconds, up to the end.
func (d *drawer) series(gap float64, each func(at float64)) {
	for at := 1 + d.random.ExpFloat64()*gap; at < d.end; at += 0.1 + d.random.ExpFloat64()*gap {
		each(at)
	}
}

// gateways draws their troubles, which overlap freely: any number of gateways may go.
func (d *drawer) gateways(count int, planned bool) {
	kinds := []string{"stop", "stop", "reload", "reload-invalid"}
	if !planned {
		kinds = append(kinds, "kill", "freeze")
	}
	d.series(2, func(at float64) {
		d.add(lab.Trouble{AtS: at, Kind: kinds[d.random.Intn(len(kinds))], Target: "gateway-" + strconv.Itoa(1+d.random.Intn(count)),
			ForS: 0.2 + d.random.Float64()*2, BackS: d.random.Float64() * 2})
	})
}

// counted draws the troubles of the processes with a disk, one after the other: each has time to
// come back and to be copied to before the next, as the fault budget of the smallest fleet wants.
func (d *drawer) counted(plan *lab.Plan, planned bool) {
	kinds := []string{"stop", "reload"}
	if !planned {
		kinds = append(kinds, "kill", "freeze", "wipe", "wipe")
	}
	for at := 2 + d.random.Float64()*2; at < d.end; at += constants.SoakRepairTime.Seconds() + d.random.Float64()*2 {
		target := "store-" + strconv.Itoa(1+d.random.Intn(plan.Stores))
		if d.random.Intn(2) == 0 {
			target = "controller-" + strconv.Itoa(1+d.random.Intn(plan.Controllers))
		}
		d.add(lab.Trouble{AtS: at, Kind: kinds[d.random.Intn(len(kinds))], Target: target, ForS: 0.5 + d.random.Float64()*2, BackS: d.random.Float64()})
	}
}

// configuration draws changes of the configuration.
func (d *drawer) configuration() {
	d.series(3, func(at float64) { d.add(lab.Trouble{AtS: at, Kind: "configure"}) })
}

// workers draws the troubles of workers.
func (d *drawer) workers(plan *lab.Plan, planned bool) {
	kinds := []string{"replace"}
	if !planned {
		kinds = append(kinds, "crash")
	}
	d.series(4, func(at float64) {
		target := "worker-" + strconv.Itoa(1+d.random.Intn(plan.Workers))
		if d.random.Intn(3) == 0 {
			target = "plain-" + strconv.Itoa(1+d.random.Intn(plan.Plain))
		}
		d.add(lab.Trouble{AtS: at, Kind: kinds[d.random.Intn(len(kinds))], Target: target, BackS: 0.5 + d.random.Float64()})
	})
}
