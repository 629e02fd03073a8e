package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/forecast"
)

// exitLate is the exit code of a forecast that predicts late requests.
const exitLate = 3

// forecastOptions are the flags of forecast.
type forecastOptions struct {
	seed, format, plot, keep string
	random                   uint64
}

func forecastCommand() *cobra.Command {
	options := forecastOptions{}
	command := &cobra.Command{Use: "forecast FILE", Args: cobra.ExactArgs(1),
		Short: "Forecast the capacity of each model family in an expected surge, and which requests would be late",
		Long: "FILE describes the surges (docs/forecast.md). Exit code 0: no requests would be late; 1: the fleet can't be reached;\n" +
			"2: the file is not valid; 3: some requests would be late."}
	command.Flags().StringVar(&options.seed, "seed", "", "internal address of any process, host:port")
	command.Flags().StringVar(&options.format, "output", "table", "table or json")
	command.Flags().StringVar(&options.plot, "plot", "", "file for a plot of wait times over time (svg or png)")
	command.Flags().StringVar(&options.keep, "keep", "", "file to which the forecast is saved for a later review")
	command.Flags().Uint64Var(&options.random, "random-seed", 1, "random seed of the simulation")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		return runForecast(command.OutOrStdout(), command.ErrOrStderr(), arguments[0], options)
	}
	command.AddCommand(reviewCommand())
	return command
}

// readScenario reads and checks a scenario file. It writes findings to diagnostics, one per line.
func readScenario(path string, diagnostics io.Writer) (*forecast.Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, exitError{exitUnusable, err.Error()}
	}
	scenario, findings := forecast.Read(text)
	return scenario, reportFindings(path, findings, diagnostics)
}

// reportFindings writes the findings and, if there are any, returns the error that ends the command.
func reportFindings(path string, findings []string, diagnostics io.Writer) error {
	for _, finding := range findings {
		fmt.Fprintln(diagnostics, path+": "+finding)
	}
	if len(findings) > 0 {
		return exitError{exitUnusable, fmt.Sprintf("%s is not valid, findings=%d", path, len(findings))}
	}
	return nil
}

func runForecast(writer, diagnostics io.Writer, path string, options forecastOptions) error {
	if err := checkFormat(options.format); err != nil {
		return err
	}
	// The file is checked before any request is sent to the fleet.
	scenario, err := readScenario(path, diagnostics)
	if err != nil {
		return err
	}
	state, err := collectFleetState(options.seed)
	if err != nil {
		return err
	}
	report, findings := forecast.Forecast(scenario, state, options.random)
	if err = reportFindings(path, findings, diagnostics); err != nil {
		return err
	}
	if err = printReport(writer, report, options); err != nil {
		return err
	}
	if options.keep != "" {
		record := &forecast.Record{Scenario: scenario, State: state, Predicted: report}
		if err = record.Write(options.keep); err != nil {
			return exitError{exitUnusable, "--keep: " + err.Error()}
		}
	}
	if report.AnyLate() {
		return exitError{exitLate, "some requests would be late"}
	}
	return nil
}

// collectFleetState collects the state of the fleet that the forecast needs, starting from the seed.
func collectFleetState(seed string) (*forecast.FleetState, error) {
	if seed == "" {
		return nil, exitError{exitUnusable, "--seed is missing: internal address of any process, host:port"}
	}
	tcp := transport.NewTCP("")
	defer tcp.Close()
	collector := &forecast.Collector{Transport: tcp, Seed: seed, Timeout: constants.StatusTimeout}
	state, err := collector.Collect()
	if err != nil {
		return nil, exitError{exitInvalid, err.Error()}
	}
	return state, nil
}

func printReport(writer io.Writer, report *forecast.Report, options forecastOptions) error {
	if options.plot != "" {
		if err := report.Plot(options.plot); err != nil {
			return exitError{exitUnusable, "--plot: " + err.Error()}
		}
	}
	if options.format == "json" {
		return report.JSON(writer)
	}
	return report.Table(writer)
}

func reviewCommand() *cobra.Command {
	seed, format := "", "table"
	command := &cobra.Command{Use: "review KEPT", Args: cobra.ExactArgs(1),
		Short: "Compare a saved forecast with what the fleet measured in the last minutes"}
	command.Flags().StringVar(&seed, "seed", "", "internal address of any process, host:port")
	command.Flags().StringVar(&format, "output", format, "table or json")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		if err := checkFormat(format); err != nil {
			return err
		}
		record, err := forecast.ReadRecord(arguments[0])
		if err != nil {
			return exitError{exitUnusable, err.Error()}
		}
		state, err := collectFleetState(seed)
		if err != nil {
			return err
		}
		review := forecast.NewReview(record, state)
		if format == "json" {
			return review.JSON(command.OutOrStdout())
		}
		return review.Table(command.OutOrStdout())
	}
	return command
}
