package main

import (
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lemonarch/internal/tooling/hollowfleet"
)

// hollowCollect is the collector's target growth and hollowMemory its limit in bytes.
const (
	hollowCollect = 60
	hollowMemory  = 12 << 30
)

// hollowFlags is what is asked for beside the plan.
type hollowFlags struct {
	sizes                           []int
	workersEach                     float64
	out, plots, title, mechanism    string
	duration, warm, rack, zone, cut time.Duration
	quiet                           bool
}

func hollowCommand() *cobra.Command {
	plan, flags := hollowfleet.Usual(), hollowFlags{}
	command := &cobra.Command{Use: "hollow", Args: cobra.NoArgs,
		Short: "Play a fleet of hundreds of processes without a data plane, and fit what grows with it",
		Long: "Plays the real cores of membership, contact, workers, gossip, register, holds and lots on a\n" +
			"simulated clock and prints JSON. From three sizes on, slopes are fitted. The same seed\n" +
			"gives the same simulated part; processor time and memory are measured.",
		RunE: func(command *cobra.Command, _ []string) error {
			plan.DurationS, plan.WarmS = flags.duration.Seconds(), flags.warm.Seconds()
			plan.RackS, plan.ZoneS, plan.PartS = flags.rack.Seconds(), flags.zone.Seconds(), flags.cut.Seconds()
			return hollow(command, plan, flags)
		}}
	set := command.Flags()
	set.IntSliceVar(&flags.sizes, "nodes", []int{50}, "machines; several sizes, parted by commas, are played one after the other")
	set.Float64Var(&flags.workersEach, "workers-each", 0, "workers for each node; 0 takes --workers for all sizes")
	set.IntVar(&plan.Workers, "workers", plan.Workers, "workers")
	set.IntVar(&plan.StoreEach, "store-each", plan.StoreEach, "every so manieth machine is a storage machine")
	set.IntVar(&plan.Zones, "zones", plan.Zones, "zones, each with one controller")
	set.IntVar(&plan.Regions, "regions", plan.Regions, "regions")
	set.IntVar(&plan.Models, "models", plan.Models, "models, each a service of its own")
	set.Float64Var(&plan.Requests, "requests", 0, "requests placed a second; 0 takes 7900 for 390 nodes, in proportion")
	set.Float64Var(&plan.Lots, "lots", 0, "lots a minute")
	set.IntVar(&plan.LotItems, "lot-items", plan.LotItems, "items of a lot")
	set.IntVar(&plan.ItemBytes, "item-bytes", plan.ItemBytes, "bytes of an item's body and of its output")
	set.Float64Var(&plan.Changes, "changes", 0, "configuration changes a minute")
	set.IntVar(&plan.ConfigBytes, "config-bytes", plan.ConfigBytes, "bytes of a configuration")
	set.Float64Var(&plan.Turns, "turns", 0, "workers a minute that drain and come back")
	set.Float64Var(&plan.HeartbeatMs, "heartbeat", plan.HeartbeatMs, "ms between heartbeats of a worker")
	set.Float64Var(&plan.Failures, "failures", 0, "machines a minute that fall silent")
	set.Float64Var(&plan.DownS, "down", plan.DownS, "seconds until a failed machine is back")
	set.DurationVar(&flags.rack, "rack", 0, "lose a rack for this time")
	set.DurationVar(&flags.zone, "zone", 0, "lose a zone for this time")
	set.DurationVar(&flags.cut, "part", 0, "part the regions for this time")
	set.DurationVar(&flags.duration, "duration", time.Minute, "simulated time that is counted")
	set.DurationVar(&flags.warm, "warm", 20*time.Second, "simulated time before it")
	set.Int64Var(&plan.Seed, "seed", plan.Seed, "seed; the same one repeats a run")
	set.StringVar(&flags.out, "out", "", "file for the JSON; standard output where empty")
	set.StringVar(&flags.plots, "plots", "", "folder for plots of the slopes")
	set.StringVar(&flags.title, "title", "hollow", "beginning of the names of plots")
	set.StringVar(&flags.mechanism, "mechanism", "", "a note in the result on what was measured")
	set.BoolVar(&flags.quiet, "quiet", false, "no progress on standard error")
	command.AddCommand(hollowJobsCommand(), hollowRealCommand(), hollowTableCommand())
	return command
}

func hollow(command *cobra.Command, plan hollowfleet.Plan, flags hollowFlags) error {
	for _, size := range flags.sizes {
		entry := plan
		entry.Nodes = size
		if flags.workersEach > 0 {
			entry.Workers = max(1, int(float64(size)*flags.workersEach+0.5))
		}
		if findings := entry.Check(); len(findings) > 0 {
			return exitError{exitUnusable, findings[0]}
		}
	}
	if len(flags.sizes) == 0 || flags.workersEach < 0 {
		return exitError{exitUnusable, "--nodes must name a size and --workers-each must not be below 0"}
	}
	for _, path := range []string{flags.out, flags.plots} {
		// Said before a long run, not after it.
		if _, err := os.Stat(filepath.Dir(path)); path != "" && err != nil {
			return exitError{exitUnusable, err.Error()}
		}
	}
	// A large fleet is some GB of live heap: collected a little earlier than usual, and
	// hard before it takes half of a machine.
	debug.SetGCPercent(hollowCollect)
	debug.SetMemoryLimit(hollowMemory)
	progress := command.ErrOrStderr()
	if flags.quiet {
		progress = nil
	}
	series := hollowfleet.Play(plan, flags.sizes, flags.workersEach, progress)
	series.Command, series.Mechanism = "lemonarch "+strings.Join(os.Args[1:], " "), flags.mechanism
	if err := writeJSON(command, flags.out, series); err != nil {
		return err
	}
	if flags.plots != "" {
		if err := series.Draw(flags.plots, flags.title); err != nil {
			return exitError{exitUnusable, err.Error()}
		}
	}
	return nil
}
