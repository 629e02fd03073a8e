package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"lemonarch/internal/tooling/forecastcases"
)

// forecastCasesMax bounds the cases of one call.
const forecastCasesMax = 10_000

// labForecastCommand tries the forecast on drawn cases with emulated engines in simulated time.
func labForecastCommand() *cobra.Command {
	cases, seed, format := 30, uint64(1), "table"
	command := &cobra.Command{Use: "forecast", Args: cobra.NoArgs,
		Short: "Forecast drawn surges on emulated engines in simulated time, bring them about, and compare"}
	command.Flags().IntVar(&cases, "cases", cases, "how many cases")
	command.Flags().Uint64Var(&seed, "random-seed", seed, "seed of the draws")
	command.Flags().StringVar(&format, "output", format, "table or json")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if cases < 1 || cases > forecastCasesMax {
			return exitError{exitUnusable, fmt.Sprintf("--cases must lie between 1 and %d", forecastCasesMax)}
		}
		if format != "table" && format != "json" {
			return exitError{exitUnusable, "--output must be table or json"}
		}
		var results []*forecastcases.Result
		for number := range cases {
			result, err := forecastcases.Play(forecastcases.Draw(number, seed), seed)
			if err != nil {
				return exitError{exitInvalid, err.Error()}
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
