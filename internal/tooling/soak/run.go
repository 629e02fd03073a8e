package soak

import (
	"os"

	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/tooling/lab"
	"lemonarch/internal/tooling/loadgen"
)

// Report is the result of running one schedule.
type Report struct {
	Seed        int64 `json:"seed"`
	PlannedOnly bool  `json:"planned-only"`
	// TroubleCounts is the number of troubles in the schedule by kind.
	TroubleCounts map[string]int `json:"troubles"`
	// Processes is the number of gateways, controllers and stores of the fleet.
	Processes int             `json:"processes"`
	Result    *loadgen.Result `json:"result"`
	// Logs is the folder with settings, disks and output of every process; empty unless Broken.
	Logs string `json:"logs,omitempty"`
}

// Broken reports whether a promise was broken or nothing was served.
func (r *Report) Broken() bool { return r.Result.Broken > 0 || r.Result.Served() == 0 }

// Run runs a schedule: it starts the fleet, sends the load while it injects the troubles, checks the
// responses, and stops everything that it started. The logs are kept if the run fails, a promise was
// broken or nothing was served.
func Run(ctx contexts.Context, schedule *Schedule, progress func(text string)) (report *Report, err error) {
	folder, err := os.MkdirTemp("", "lemonarch-soak-")
	if err != nil {
		return nil, ErrInvalidSoak.Wrap(err, "folder")
	}
	defer func() {
		if err == nil && report.Logs == "" {
			_ = os.RemoveAll(folder)
		}
	}()
	plan := schedule.Experiment.Fleets[0]
	fleet, err := lab.Start(ctx, plan, folder)
	if err != nil {
		return nil, ErrInvalidSoak.Wrap(err, "fleet; logs in "+folder)
	}
	defer fleet.Stop()
	fleetCtx, cancel := contexts.WithCancel(ctx)
	defer cancel()
	failures := make(chan error, 1)
	go func() {
		select {
		case failure := <-fleet.Failed:
			failures <- failure
			cancel()
		case <-fleetCtx.Done():
		}
	}()
	result, err := drive(fleetCtx, schedule, fleet, progress)
	select {
	case failure := <-failures:
		return nil, ErrInvalidSoak.Wrap(failure, "a process exited unexpectedly; logs in "+folder)
	default:
	}
	if err != nil {
		return nil, ErrInvalidSoak.Wrap(err, "load; logs in "+folder)
	}
	result.Finalize()
	report = &Report{Seed: schedule.Seed, PlannedOnly: schedule.PlannedOnly, TroubleCounts: schedule.troubleCounts(), Processes: plan.Gateways + plan.Controllers + plan.Stores, Result: result}
	if report.Broken() {
		report.Logs = folder
	}
	return report, nil
}

func drive(ctx contexts.Context, schedule *Schedule, fleet *lab.Fleet, progress func(text string)) (*loadgen.Result, error) {
	endpoint, err := loadgen.OpenEndpoint(fleet.Plan.Endpoint())
	if err != nil {
		return nil, err
	}
	options := loadgen.NewOptions()
	options.Rate, options.JobRate, options.Items, options.MaxAttempts = schedule.Experiment.Rate, schedule.Experiment.JobRate, schedule.Experiment.Items, schedule.Experiment.MaxAttempts
	options.Sessions, options.ReadsConfig = schedule.Experiment.Sessions, true
	options.For, options.Seed, options.PlannedOnly, options.Progress = schedule.Duration, schedule.Seed, schedule.PlannedOnly, progress
	return loadgen.Drive(ctx, options, endpoint, schedule.Experiment.Trouble)
}

// troubleCounts returns the number of troubles by kind.
func (s *Schedule) troubleCounts() map[string]int {
	counts := map[string]int{}
	for _, trouble := range s.Experiment.Trouble {
		counts[trouble.Kind]++
	}
	return counts
}
