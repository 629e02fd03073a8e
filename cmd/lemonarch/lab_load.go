package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"lemonarch/internal/errand"
	"lemonarch/internal/sawhorse"
	"lemonarch/internal/treadle"
)

// newLabLoad is the command that sends load to lab fleets and checks every answer.
func newLabLoad() *cobra.Command {
	options, desks, experiment, format, mix, picture := treadle.NewOptions(), []string{}, "", "table", "", ""
	command := &cobra.Command{Use: "load", Args: cobra.NoArgs,
		Short: "Send requests, streams and lots to a lab fleet, check every answer, and report",
		Long: "Sends to a fleet that lab up has started (--desk), or starts the fleets of an experiment\n" +
			"file, breaks what it says when it says, and ends them. Several fleets get the same load at\n" +
			"the same time and are reported side by side.\n\n" +
			"Exit code 1: a promise was broken, or nothing was served.\n\n" +
			"Kinds of trouble in an experiment file:\n" + troubles()}
	flags := command.Flags()
	flags.StringSliceVar(&desks, "desk", []string{""}, "desks of the fleets, as lab up prints them (default: the usual one)")
	flags.StringVar(&experiment, "experiment", "", "file of an experiment (TOML); the other flags of the load are not used then")
	flags.StringVar(&format, "output", format, "table or json")
	flags.StringVar(&picture, "plot", "", "draw latency by percentile into this file (.svg, .png or .pdf)")
	flags.Float64Var(&options.Rate, "rate", options.Rate, "requests a second")
	flags.Float64Var(&options.LotRate, "lots", options.LotRate, "lots a second; 0 for none")
	flags.IntVar(&options.Items, "items", options.Items, "items of a lot")
	flags.StringVar(&mix, "mix", "query=6,review=1,confirm=2,status=3", "parts of each kind of request")
	flags.DurationVar(&options.For, "for", options.For, "how long to send")
	flags.IntVar(&options.Count, "count", 0, "how many requests at most; 0 for no such bound")
	flags.IntVar(&options.Tries, "tries", options.Tries, "how often a request is tried in all")
	flags.Int64Var(&options.Seed, "seed", options.Seed, "seed of the load")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if format != "table" && format != "json" {
			return coded{exitUnusable, "--output must be table or json"}
		}
		if picture != "" {
			if failure := treadle.CheckPlot(picture); failure != nil {
				return coded{exitUnusable, oneLine(failure)}
			}
		}
		until, halt := signal.NotifyContext(errand.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer halt()
		var results []*treadle.Result
		var failure error
		options.Progress = func(line string) { fmt.Fprintln(command.ErrOrStderr(), line) }
		if experiment != "" {
			results, failure = conduct(until, experiment, options.Progress)
		} else if options.Mix, failure = treadle.ParseMix(mix); failure == nil {
			results, failure = drive(until, options, desks)
		}
		if failure != nil {
			return coded{exitUnusable, oneLine(failure)}
		}
		if picture != "" {
			if failure = treadle.Plot(picture, results); failure != nil {
				// The report is worth more than its picture, and still comes.
				fmt.Fprintln(command.ErrOrStderr(), oneLine(failure))
			}
		}
		return tell(command, results, format)
	}
	return command
}

func troubles() string {
	text := ""
	for _, name := range sawhorse.KindNames() {
		text += fmt.Sprintf("  %-10s %s\n", name, sawhorse.Kinds[name])
	}
	return text
}

// conduct runs the experiment of a file.
func conduct(until errand.Errand, path string, progress func(string)) ([]*treadle.Result, error) {
	text, failure := os.ReadFile(path)
	if failure != nil {
		return nil, failure
	}
	one, options, failure := treadle.ReadExperiment(string(text), besides())
	if failure != nil {
		return nil, failure
	}
	options.Progress = progress
	return one.Run(until, options)
}

// drive loads fleets that are up already, all at the same time.
func drive(until errand.Errand, options treadle.Options, addresses []string) ([]*treadle.Result, error) {
	if failure := options.Check(); failure != nil {
		return nil, failure
	}
	usual := sawhorse.NewPlan()
	var desks []*treadle.Desk
	for _, address := range addresses {
		if strings.TrimSpace(address) == "" {
			address = usual.Desk()
		}
		desk, failure := treadle.OpenDesk(address)
		if failure != nil {
			return nil, failure
		}
		desks = append(desks, desk)
	}
	type driven struct {
		place   int
		result  *treadle.Result
		failure error
	}
	back := make(chan driven, len(desks))
	for place, desk := range desks {
		go func() {
			result, failure := treadle.Drive(until, options, desk, nil)
			back <- driven{place, result, failure}
		}()
	}
	results := make([]*treadle.Result, len(desks))
	var failure error
	for range desks {
		one := <-back
		if one.failure != nil {
			failure = one.failure
			continue
		}
		one.result.Close()
		results[one.place] = one.result
	}
	return results, failure
}

// tell prints the results; a broken promise is an exit code of its own.
func tell(command *cobra.Command, results []*treadle.Result, format string) error {
	if format == "json" {
		writer := json.NewEncoder(command.OutOrStdout())
		writer.SetIndent("", "  ")
		if failure := writer.Encode(map[string]any{"caveat": treadle.Caveat, "results": results}); failure != nil {
			return failure
		}
	} else {
		treadle.Write(command.OutOrStdout(), results)
	}
	for _, result := range results {
		if result.Broken > 0 {
			return coded{exitInvalid, fmt.Sprintf("%s: promises broken=%d", result.Label, result.Broken)}
		}
		if result.Served() == 0 {
			return coded{exitInvalid, result.Label + ": nothing was served"}
		}
	}
	return nil
}
