package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/tooling/lab"
	"lemonarch/internal/tooling/loadgen"
)

// newLabLoad is the command that sends load to lab fleets and checks every answer.
func newLabLoad() *cobra.Command {
	options, addresses, experiment, format, mix, picture := loadgen.NewOptions(), []string{}, "", "table", "", ""
	command := &cobra.Command{Use: "load", Args: cobra.NoArgs,
		Short: "Send requests, streams and lots to a lab fleet, check every answer, and report",
		Long: "Sends to a fleet that lab up has started (--endpoint), or starts the fleets of an experiment\n" +
			"file, breaks what it says when it says, and ends them. Several fleets get the same load at\n" +
			"the same time and are reported side by side.\n\n" +
			"Exit code 1: a promise was broken, or nothing was served.\n\n" +
			"Kinds of trouble in an experiment file:\n" + troubles()}
	flags := command.Flags()
	flags.StringSliceVar(&addresses, "endpoint", []string{""}, "control endpoints of the fleets, as lab up prints them (default: the usual one)")
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
			if err := loadgen.CheckPlot(picture); err != nil {
				return coded{exitUnusable, oneLine(err)}
			}
		}
		until, halt := signal.NotifyContext(contexts.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer halt()
		var results []*loadgen.Result
		var err error
		options.Progress = func(line string) { fmt.Fprintln(command.ErrOrStderr(), line) }
		if experiment != "" {
			results, err = conduct(until, experiment, options.Progress)
		} else if options.Mix, err = loadgen.ParseMix(mix); err == nil {
			results, err = drive(until, options, addresses)
		}
		if err != nil {
			return coded{exitUnusable, oneLine(err)}
		}
		if picture != "" {
			if err = loadgen.Plot(picture, results); err != nil {
				// The report is worth more than its picture, and still comes.
				fmt.Fprintln(command.ErrOrStderr(), oneLine(err))
			}
		}
		return tell(command, results, format)
	}
	return command
}

func troubles() string {
	text := ""
	for _, name := range lab.KindNames() {
		text += fmt.Sprintf("  %-14s %s\n", name, lab.Kinds[name])
	}
	return text
}

// conduct runs the experiment of a file.
func conduct(until contexts.Context, path string, progress func(string)) ([]*loadgen.Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	one, options, err := loadgen.ReadExperiment(string(text), besides())
	if err != nil {
		return nil, err
	}
	options.Progress = progress
	return one.Run(until, options)
}

// drive loads fleets that are up already, all at the same time.
func drive(until contexts.Context, options loadgen.Options, addresses []string) ([]*loadgen.Result, error) {
	if err := options.Check(); err != nil {
		return nil, err
	}
	usual := lab.NewPlan()
	var endpoints []*loadgen.Endpoint
	for _, address := range addresses {
		if strings.TrimSpace(address) == "" {
			address = usual.Endpoint()
		}
		endpoint, err := loadgen.OpenEndpoint(address)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, endpoint)
	}
	type driven struct {
		place  int
		result *loadgen.Result
		err    error
	}
	back := make(chan driven, len(endpoints))
	for place, endpoint := range endpoints {
		go func() {
			result, err := loadgen.Drive(until, options, endpoint, nil)
			back <- driven{place, result, err}
		}()
	}
	results := make([]*loadgen.Result, len(endpoints))
	var err error
	for range endpoints {
		one := <-back
		if one.err != nil {
			err = one.err
			continue
		}
		one.result.Close()
		results[one.place] = one.result
	}
	return results, err
}

// tell prints the results; a broken promise is an exit code of its own.
func tell(command *cobra.Command, results []*loadgen.Result, format string) error {
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
			return coded{exitInvalid, fmt.Sprintf("%s: promises broken=%d", result.Label, result.Broken)}
		}
		if result.Served() == 0 {
			return coded{exitInvalid, result.Label + ": nothing was served"}
		}
	}
	return nil
}
