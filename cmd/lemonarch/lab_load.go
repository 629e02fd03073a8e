package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/tooling/lab"
	"lemonarch/internal/tooling/loadgen"
)

// labLoad holds the flags of lab load.
type labLoad struct {
	options    loadgen.Options
	addresses  []string
	experiment string
	format     string
	mix        string
	plotPath   string
}

// newLabLoad returns the command that sends load to lab fleets and checks every response.
func newLabLoad() *cobra.Command {
	load := &labLoad{options: loadgen.NewOptions(), format: "table"}
	command := &cobra.Command{Use: "load", Args: cobra.NoArgs,
		Short: "Send requests, streams and batch jobs to a lab fleet, check every response, and report",
		Long: "Sends load to a fleet started by lab up (--endpoint), or starts the fleets of an experiment\n" +
			"file, injects its troubles at the times given there, and stops the fleets. Several fleets get\n" +
			"the same load at the same time and are reported side by side.\n\n" +
			"Exit code 1: a promise was broken, or nothing was served.\n\n" +
			"Kinds of trouble in an experiment file:\n" + troubleKinds()}
	load.register(command.Flags())
	command.RunE = func(command *cobra.Command, _ []string) error { return load.run(command) }
	return command
}

func (l *labLoad) register(flags *pflag.FlagSet) {
	flags.StringSliceVar(&l.addresses, "endpoint", []string{""}, "control endpoints of the fleets, as lab up prints them (default: that of a fleet with default flags)")
	flags.StringVar(&l.experiment, "experiment", "", "experiment file (TOML); it replaces the other flags of the load")
	flags.StringVar(&l.format, "output", l.format, "table or json")
	flags.StringVar(&l.plotPath, "plot", "", "file for a plot of latency by percentile (.svg, .png or .pdf)")
	flags.Float64Var(&l.options.Rate, "rate", l.options.Rate, "requests per second")
	flags.Float64Var(&l.options.JobRate, "lots", l.options.JobRate, "batch jobs per second; 0 for none")
	flags.IntVar(&l.options.Sessions, "sessions", l.options.Sessions, "clients that send their next request the moment the previous response is complete")
	flags.IntVar(&l.options.Items, "items", l.options.Items, "items per batch job")
	flags.StringVar(&l.mix, "mix", "query=6,review=1,confirm=2,status=3", "relative share of each kind of request")
	flags.DurationVar(&l.options.For, "for", l.options.For, "how long to send load")
	flags.IntVar(&l.options.Count, "count", 0, "maximum number of requests; 0 for no limit")
	flags.IntVar(&l.options.MaxAttempts, "tries", l.options.MaxAttempts, "maximum number of attempts per request, the first one included")
	flags.Int64Var(&l.options.Seed, "seed", l.options.Seed, "seed of the load")
}

func (l *labLoad) run(command *cobra.Command) error {
	if err := checkFormat(l.format); err != nil {
		return err
	}
	if l.plotPath != "" {
		if err := loadgen.CheckPlot(l.plotPath); err != nil {
			return exitError{exitUnusable, oneLine(err)}
		}
	}
	ctx, stop := signal.NotifyContext(contexts.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	var results []*loadgen.Result
	var err error
	l.options.Progress = func(text string) { fmt.Fprintln(command.ErrOrStderr(), text) }
	if l.experiment != "" {
		results, err = runExperiment(ctx, l.experiment, l.options.Progress)
	} else if l.options.Mix, err = loadgen.ParseMix(l.mix); err == nil {
		results, err = driveFleets(ctx, l.options, l.addresses)
	}
	if err != nil {
		return exitError{exitUnusable, oneLine(err)}
	}
	if l.plotPath != "" {
		if err = loadgen.Plot(l.plotPath, results); err != nil {
			// A failed plot is no reason to withhold the report.
			fmt.Fprintln(command.ErrOrStderr(), oneLine(err))
		}
	}
	return printResults(command, results, l.format)
}

func troubleKinds() string {
	text := ""
	for _, name := range lab.KindNames() {
		text += fmt.Sprintf("  %-14s %s\n", name, lab.Kinds[name])
	}
	return text
}

// runExperiment runs the experiment described by a file.
func runExperiment(ctx contexts.Context, path string, progress func(string)) ([]*loadgen.Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	experiment, options, err := loadgen.ReadExperiment(string(text), programFolder())
	if err != nil {
		return nil, err
	}
	options.Progress = progress
	return experiment.Run(ctx, options)
}

// driveFleets sends load to fleets that are already running, to all at the same time. The results are in
// the order of the addresses; those of fleets that failed are nil, and one of their errors is returned.
func driveFleets(ctx contexts.Context, options loadgen.Options, addresses []string) ([]*loadgen.Result, error) {
	if err := options.Check(); err != nil {
		return nil, err
	}
	defaults := lab.NewPlan()
	var endpoints []*loadgen.Endpoint
	for _, address := range addresses {
		if strings.TrimSpace(address) == "" {
			address = defaults.Endpoint()
		}
		endpoint, err := loadgen.OpenEndpoint(address)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, endpoint)
	}
	type driveResult struct {
		position int
		result   *loadgen.Result
		err      error
	}
	finished := make(chan driveResult, len(endpoints))
	for i, endpoint := range endpoints {
		go func() {
			result, err := loadgen.Drive(ctx, options, endpoint, nil)
			finished <- driveResult{i, result, err}
		}()
	}
	results := make([]*loadgen.Result, len(endpoints))
	var err error
	for range endpoints {
		outcome := <-finished
		if outcome.err != nil {
			err = outcome.err
			continue
		}
		outcome.result.Finalize()
		results[outcome.position] = outcome.result
	}
	return results, err
}

// printResults prints the results. It returns an error with exitInvalid if a promise was broken or a
// fleet served nothing.
func printResults(command *cobra.Command, results []*loadgen.Result, format string) error {
	if format == "json" {
		writer := json.NewEncoder(command.OutOrStdout())
		writer.SetIndent("", "  ")
		if err := writer.Encode(map[string]any{"caveat": loadgen.Caveat, "results": results}); err != nil {
			return err
		}
	} else {
		loadgen.Write(command.OutOrStdout(), results)
	}
	for _, result := range results {
		if result.Broken > 0 {
			return exitError{exitInvalid, fmt.Sprintf("%s: promises broken=%d", result.Label, result.Broken)}
		}
		if result.Served() == 0 {
			return exitError{exitInvalid, result.Label + ": nothing was served"}
		}
	}
	return nil
}
