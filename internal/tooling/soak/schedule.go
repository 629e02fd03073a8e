// Package soak generates, from a seed, a fleet of the real programs and a series of overlapping
// troubles, sends load to the fleet and checks every response against what the fleet promises. It covers
// what tests in simulated time can't: sockets, signals, files and schedulers. A seed always gives the
// same schedule, but the course of the real processes may differ from run to run.
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

// ErrInvalidSoak is the kind of errors of this package: invalid options, or a run that could not be
// carried out.
var ErrInvalidSoak = errs.Define("soak")

// Options are the parameters from which a schedule is generated.
type Options struct {
	Seed int64
	// Duration is the time for which load is sent.
	Duration clock.Duration
	// Processes is the maximum number of gateways, controllers and stores together.
	Processes int
	// Programs is the folder with the gateway, controller and store programs.
	Programs string
	// Network is the first three bytes of the fleet's addresses; empty for the default. Fleets on
	// different networks can run at the same time.
	Network string
}

// Schedule is the fleet, load and troubles generated from one seed.
type Schedule struct {
	Options
	// PlannedOnly means that the schedule contains only planned work: graceful stops, SIGHUP,
	// configuration changes, workers that leave. Then every request that a worker ran must receive a
	// complete response.
	PlannedOnly bool
	Experiment  loadgen.Experiment
}

// Generate returns the schedule of a seed. The same options give the same schedule.
func Generate(options Options) (*Schedule, error) {
	switch {
	case options.Duration < constants.SoakMinDuration || options.Duration > constants.LoadTime:
		return nil, ErrInvalidSoak.New("duration must be between " + constants.SoakMinDuration.String() + " and " + constants.LoadTime.String())
	case options.Processes < constants.SoakMinProcesses || options.Processes > constants.LabProcesses:
		return nil, ErrInvalidSoak.New("processes must be between " + strconv.Itoa(constants.SoakMinProcesses) + " and " + strconv.Itoa(constants.LabProcesses))
	}
	g := generator{random: rand.New(rand.NewSource(options.Seed)), lastStartS: options.Duration.Seconds() - constants.SoakQuietEnd.Seconds()}
	schedule := &Schedule{Options: options, PlannedOnly: g.random.Intn(2) == 0}
	plan := lab.NewPlan()
	plan.Label, plan.Programs, plan.Seed = "soak-"+strconv.FormatInt(options.Seed, 10), options.Programs, options.Seed
	if options.Network != "" {
		plan.Network = options.Network
	}
	g.fleetSizes(&plan, options.Processes)
	schedule.Experiment = loadgen.Experiment{Rate: 80, JobRate: 0.5, Items: 10, Sessions: max(constants.SoakSessions, plan.Gateways/2), ForS: options.Duration.Seconds(), MaxAttempts: 2, Seed: options.Seed,
		PlannedOnly: schedule.PlannedOnly, Fleets: []lab.Plan{plan}}
	g.gatewayTroubles(plan.Gateways, schedule.PlannedOnly)
	g.diskProcessTroubles(&plan, schedule.PlannedOnly)
	g.configurationChanges()
	g.workerTroubles(&plan, schedule.PlannedOnly)
	schedule.Experiment.Trouble = g.troubles
	return schedule, nil
}

// Text returns the schedule as an experiment file, byte for byte the same for the same options.
func (s *Schedule) Text() (string, error) {
	var text bytes.Buffer
	err := toml.NewEncoder(&text).Encode(s.Experiment)
	return text.String(), ErrInvalidSoak.Wrap(err, "schedule")
}

// generator generates the parts of a schedule.
type generator struct {
	random *rand.Rand
	// lastStartS is the time in seconds before which the last trouble begins, so that the fleet has time
	// to recover afterwards.
	lastStartS float64
	troubles   []lab.Trouble
}

// fleetSizes generates the number of processes of each role. About a third of the fleets have the
// maximum size.
func (g *generator) fleetSizes(plan *lab.Plan, limit int) {
	total := limit
	if g.random.Intn(3) > 0 {
		total = constants.SoakMinProcesses + g.random.Intn(limit-constants.SoakMinProcesses+1)
	}
	setSizes := []int{3}
	if total >= 2*constants.SoakMinProcesses {
		setSizes = append(setSizes, 5)
	}
	plan.Controllers, plan.Stores = setSizes[g.random.Intn(len(setSizes))], setSizes[g.random.Intn(len(setSizes))]
	plan.Gateways = max(total-plan.Controllers-plan.Stores, 2)
	plan.Workers, plan.Plain = 3+g.random.Intn(4), 2+g.random.Intn(2)
}

func (g *generator) add(trouble lab.Trouble) {
	trouble.AtS = math.Round(trouble.AtS*100) / 100
	trouble.ForS, trouble.BackS = math.Round(trouble.ForS*100)/100, math.Round(trouble.BackS*100)/100
	g.troubles = append(g.troubles, trouble)
}

// series calls a function for a series of random times up to lastStartS. The time between two of them
// is 0.1 s plus an exponentially distributed gap with mean meanGap; all times are in seconds.
func (g *generator) series(meanGap float64, call func(atS float64)) {
	for atS := 1 + g.random.ExpFloat64()*meanGap; atS < g.lastStartS; atS += 0.1 + g.random.ExpFloat64()*meanGap {
		call(atS)
	}
}

// gatewayTroubles generates the troubles of gateways. They may overlap, since any number of gateways may
// be down at the same time.
func (g *generator) gatewayTroubles(count int, planned bool) {
	kinds := []string{"stop", "stop", "reload", "reload-invalid"}
	if !planned {
		kinds = append(kinds, "kill", "freeze")
	}
	g.series(2, func(atS float64) {
		g.add(lab.Trouble{AtS: atS, Kind: kinds[g.random.Intn(len(kinds))], Target: "gateway-" + strconv.Itoa(1+g.random.Intn(count)),
			ForS: 0.2 + g.random.Float64()*2, BackS: g.random.Float64() * 2})
	})
	g.rollingRestart(count)
}

// rollingRestart generates the stops of gateways one after the other: up to SoakRolling of them, or a third
// if that is more. Each of them drains while the next ones are stopped, and a part of them gets SIGHUP and
// SIGTERM once more in the meantime.
func (g *generator) rollingRestart(count int) {
	stops := min(count, max(constants.SoakRolling, count/3))
	atS := 1 + g.random.Float64()*2
	gapS := min(0.3+g.random.Float64()*2, (g.lastStartS-atS)/float64(stops))
	for _, i := range g.random.Perm(count)[:stops] {
		target := "gateway-" + strconv.Itoa(1+i)
		stop := lab.Trouble{AtS: atS, Kind: "stop", Target: target, BackS: g.random.Float64() * 2}
		if g.random.Intn(3) == 0 {
			stop.ForS = 0.2 + g.random.Float64()*3
		}
		g.add(stop)
		if g.random.Intn(3) == 0 {
			g.add(lab.Trouble{AtS: atS + g.random.Float64()*3, Kind: "reload", Target: target})
		}
		atS += gapS
	}
}

// diskProcessTroubles generates the troubles of the processes with a disk, one after the other. Each
// process has time to restart and to receive its replicas before the next trouble, as the
// fault budget of the smallest fleet requires.
func (g *generator) diskProcessTroubles(plan *lab.Plan, planned bool) {
	kinds := []string{"stop", "reload"}
	if !planned {
		kinds = append(kinds, "kill", "freeze", "wipe", "wipe")
	}
	for atS := 2 + g.random.Float64()*2; atS < g.lastStartS; atS += constants.SoakRepairTime.Seconds() + g.random.Float64()*2 {
		if !planned && g.random.Intn(constants.SoakPowerLossOdds) == 0 {
			g.powerLoss(atS)
			continue
		}
		target := "store-" + strconv.Itoa(1+g.random.Intn(plan.Stores))
		if g.random.Intn(2) == 0 {
			target = "controller-" + strconv.Itoa(1+g.random.Intn(plan.Controllers))
		}
		g.add(lab.Trouble{AtS: atS, Kind: kinds[g.random.Intn(len(kinds))], Target: target, ForS: 0.5 + g.random.Float64()*2, BackS: g.random.Float64()})
	}
}

// powerLoss generates the kill of all processes at one moment. Their disks are kept.
func (g *generator) powerLoss(atS float64) {
	backS := g.random.Float64()
	for _, role := range []string{"gateway", "controller", "store"} {
		g.add(lab.Trouble{AtS: atS, Kind: "kill", Target: role, BackS: backS})
	}
}

// configurationChanges generates changes of the configuration. A third of them are sent by two operators at a
// time, on the same base.
func (g *generator) configurationChanges() {
	g.series(3, func(atS float64) {
		for range 1 + max(g.random.Intn(3)-1, 0) {
			g.add(lab.Trouble{AtS: atS, Kind: "configure"})
		}
	})
}

// workerTroubles generates the troubles of workers.
func (g *generator) workerTroubles(plan *lab.Plan, planned bool) {
	kinds := []string{"replace"}
	if !planned {
		kinds = append(kinds, "crash")
	}
	g.series(4, func(atS float64) {
		target := "worker-" + strconv.Itoa(1+g.random.Intn(plan.Workers))
		if g.random.Intn(3) == 0 {
			target = "plain-" + strconv.Itoa(1+g.random.Intn(plan.Plain))
		}
		g.add(lab.Trouble{AtS: atS, Kind: kinds[g.random.Intn(len(kinds))], Target: target, BackS: 0.5 + g.random.Float64()})
	})
}
