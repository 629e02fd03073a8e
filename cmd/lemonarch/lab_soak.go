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

// labSoak is the command that plays a drawn schedule of troubles, with its flags.
type labSoak struct {
	options  soak.Options
	format   string
	schedule bool
}

// newLabSoak is the command that starts a fleet, has troubles befall it in series, and checks
// every answer.
func newLabSoak() *cobra.Command {
	soakCommand := &labSoak{options: soak.Options{Programs: programFolder()}, format: "table"}
	command := &cobra.Command{Use: "soak", Args: cobra.NoArgs,
		Short: "Draw a fleet and a series of troubles from a seed, play it with real programs, and check every answer",
		Long: "Starts gateways, controllers, stores and emulated workers on loopback, sends requests, streams and jobs,\n" +
			"and meanwhile stops, kills, freezes, empties, reloads and reconfigures what the seed says. About half of\n" +
			"the seeds bring planned work alone; then no request may be cut either. The schedule follows from the\n" +
			"seed, byte for byte; what real processes make of it may differ from run to run.\n\n" +
			"Exit code 1: a promise was broken, or nothing was served; the logs are kept.",
		RunE: func(command *cobra.Command, _ []string) error { return soakCommand.run(command) }}
	flags := command.Flags()
	flags.Int64Var(&soakCommand.options.Seed, "seed", 1, "what the schedule is drawn from")
	flags.DurationVar(&soakCommand.options.Duration, "duration", 30_000_000_000, "how long load is sent")
	flags.IntVar(&soakCommand.options.Processes, "processes", 16, "gateways, controllers and stores at most")
	flags.StringVar(&soakCommand.format, "output", soakCommand.format, "table or json")
	flags.BoolVar(&soakCommand.schedule, "schedule", false, "print the schedule as an experiment file, and play nothing")
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

// print prints the report; a broken promise is an exit code of its own.
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
