package main

import (
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lemonarch/internal/tooling/hollowfleet"
)

func hollowRealCommand() *cobra.Command {
	plan, settleTime, duration, out, mechanism := hollowfleet.RealPlan{}, time.Duration(0), time.Duration(0), "", ""
	command := &cobra.Command{Use: "real", Args: cobra.NoArgs, Short: "Start a few dozen real processes on loopback and measure them at rest",
		RunE: func(command *cobra.Command, _ []string) error {
			plan.SettleS, plan.CountS = settleTime.Seconds(), duration.Seconds()
			if findings := plan.Check(); len(findings) > 0 {
				return exitError{exitUnusable, findings[0]}
			}
			result, err := hollowfleet.PlayReal(plan, command.ErrOrStderr())
			if err != nil {
				return exitError{exitInvalid, strings.ReplaceAll(err.Error(), "\n", " ")}
			}
			result.Command, result.Mechanism = "lemonarch "+strings.Join(os.Args[1:], " "), mechanism
			return writeJSON(command, out, result)
		}}
	command.Flags().StringVar(&plan.Programs, "programs", "target", "folder of the built programs")
	command.Flags().IntVar(&plan.Gateways, "gateways", 20, "gateways")
	command.Flags().IntVar(&plan.Stores, "stores", 4, "stores")
	command.Flags().IntVar(&plan.Controllers, "controllers", 4, "controllers, each beside a gateway")
	command.Flags().IntVar(&plan.Workers, "workers", 40, "workers that beat once a second; nobody serves at their addresses")
	command.Flags().DurationVar(&settleTime, "settle", 12*time.Second, "time before counting")
	command.Flags().DurationVar(&duration, "duration", 20*time.Second, "time that is counted")
	command.Flags().StringVar(&out, "out", "", "file for the JSON; standard output where empty")
	command.Flags().StringVar(&mechanism, "mechanism", "", "a note in the result on what was measured")
	return command
}
