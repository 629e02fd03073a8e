package main

import (
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/tooling/forecastcases"
	"lemonarch/internal/tooling/forecastlab"
	"lemonarch/internal/tooling/lab"
)

// forecastCasesMax is the maximum number of cases in one run.
const forecastCasesMax = 10_000

// labForecastCommand returns the command that compares forecasts with the course of generated surges
// on emulated engines, in simulated time or on the real programs.
func labForecastCommand() *cobra.Command {
	cases, first, seed, format, real := 30, 0, uint64(1), "table", false
	plan := lab.NewPlan()
	command := &cobra.Command{Use: "forecast", Args: cobra.NoArgs,
		Short: "Forecast generated surges on emulated engines, run them, and compare",
		Long:  "Runs in simulated time, or with --real on gateways, controllers and stores of a lab, one fleet per case."}
	command.Flags().IntVar(&cases, "cases", cases, "how many cases")
	command.Flags().Uint64Var(&seed, "random-seed", seed, "seed of the generated cases")
	command.Flags().StringVar(&format, "output", format, "table or json")
	command.Flags().IntVar(&first, "first", first, "number of the first case")
	command.Flags().BoolVar(&real, "real", real, "run the cases on the real programs in real time, 50 s each")
	command.Flags().StringVar(&plan.Network, "network", plan.Network, "first three bytes of the loopback addresses, with --real")
	plan.Programs = programFolder()
	command.RunE = func(command *cobra.Command, _ []string) error {
		if cases < 1 || cases > forecastCasesMax {
			return exitError{exitUnusable, fmt.Sprintf("--cases must be between 1 and %d", forecastCasesMax)}
		}
		if err := checkFormat(format); err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(contexts.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		var results []*forecastcases.Result
		for number := first; number < first+cases && ctx.Err() == nil; number++ {
			generated := forecastcases.Generate(number, seed)
			result, err := runForecastCase(ctx, generated, plan, seed, real)
			if err != nil {
				return exitError{exitInvalid, oneLine(err)}
			}
			results = append(results, result)
		}
		if format == "json" {
			return forecastcases.JSON(command.OutOrStdout(), results)
		}
		return forecastcases.Table(command.OutOrStdout(), results)
	}
	return command
}

// runForecastCase runs a case in simulated time, or on the real programs if real is set.
func runForecastCase(ctx contexts.Context, generated *forecastcases.Case, plan lab.Plan, seed uint64, real bool) (*forecastcases.Result, error) {
	if real {
		return forecastlab.Run(ctx, generated, plan, seed)
	}
	return forecastcases.Run(generated, seed)
}
