package main

import (
	"encoding/json"
	"fmt"
	"os/signal"
	"slices"
	"syscall"

	"github.com/spf13/cobra"

	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/tooling/loadgen"
	"lemonarch/internal/tooling/soak"
)

// labSoak holds the flags of lab soak.
type labSoak struct {
	options  soak.Options
	format   string
	schedule bool
}

// newLabSoak returns the command that starts a fleet, injects a generated series of troubles, and
// checks every response.
func newLabSoak() *cobra.Command {
	soakCommand := &labSoak{options: soak.Options{Programs: programFolder()}, format: "table"}
	command := &cobra.Command{Use: "soak", Args: cobra.NoArgs,
		Short: "Generate a fleet and a series of troubles from a seed, run it with real programs, and check every response",
		Long: "Starts gateways, controllers, stores and emulated workers on loopback, sends requests, streams and jobs,\n" +
			"and meanwhile stops, kills, freezes, wipes, reloads and reconfigures processes as the seed determines. About\n" +
			"half of the seeds contain planned work only; then no request may be cut either. The same seed gives the same\n" +
			"schedule, byte for byte; the course of the real processes may differ from run to run.\n\n" +
			"Exit code 1: a promise was broken, or nothing was served; the logs are kept.",
		RunE: func(command *cobra.Command, _ []string) error { return soakCommand.run(command) }}
	flags := command.Flags()
	flags.Int64Var(&soakCommand.options.Seed, "seed", 1, "seed from which the schedule is generated")
	flags.DurationVar(&soakCommand.options.Duration, "duration", 30_000_000_000, "how long to send load")
	flags.IntVar(&soakCommand.options.Processes, "processes", 16, "maximum number of gateways, controllers and stores together")
	flags.StringVar(&soakCommand.options.Network, "network", "", "first three bytes of the fleet's addresses, for several fleets at a time")
	flags.StringVar(&soakCommand.format, "output", soakCommand.format, "table or json")
	flags.BoolVar(&soakCommand.schedule, "schedule", false, "print the schedule as an experiment file and exit")
	return command
}

func (l *labSoak) run(command *cobra.Command) error {
	if err := checkFormat(l.format); err != nil {
		return err
	}
	schedule, err := soak.Generate(l.options)
	if err != nil {
		return exitError{exitUnusable, oneLine(err)}
	}
	if l.schedule {
		text, err := schedule.Text()
		if err == nil {
			_, err = fmt.Fprint(command.OutOrStdout(), text)
		}
		return err
	}
	ctx, stop := signal.NotifyContext(contexts.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := soak.Run(ctx, schedule, func(text string) { fmt.Fprintln(command.ErrOrStderr(), text) })
	if err != nil {
		return exitError{exitUnusable, oneLine(err)}
	}
	return l.print(command, report)
}

// print prints the report. It returns an error with exitInvalid if a promise was broken or nothing
// was served.
func (l *labSoak) print(command *cobra.Command, report *soak.Report) error {
	out := command.OutOrStdout()
	if l.format == "json" {
		writer := json.NewEncoder(out)
		writer.SetIndent("", "  ")
		if err := writer.Encode(report); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(out, "soak seed=%d planned-only=%v processes=%d broken=%d", report.Seed, report.PlannedOnly, report.Processes, report.Result.Broken)
		var kinds []string
		for kind := range report.TroubleCounts {
			kinds = append(kinds, kind)
		}
		slices.Sort(kinds)
		for _, kind := range kinds {
			fmt.Fprintf(out, " %s=%d", kind, report.TroubleCounts[kind])
		}
		fmt.Fprintln(out)
		loadgen.Write(out, []*loadgen.Result{report.Result})
	}
	if report.Broken() {
		return exitError{exitInvalid, fmt.Sprintf("seed %d: promises broken=%d served=%d; logs in %s", report.Seed, report.Result.Broken, report.Result.Served(), report.Logs)}
	}
	return nil
}
