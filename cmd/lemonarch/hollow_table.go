package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"lemonarch/internal/tooling/hollowfleet"
)

func hollowTableCommand() *cobra.Command {
	return &cobra.Command{Use: "table FILE...", Args: cobra.MinimumNArgs(1), Short: "Write the slopes of results as tables in Markdown",
		RunE: func(command *cobra.Command, arguments []string) error {
			for _, path := range arguments {
				text, err := os.ReadFile(path)
				if err != nil {
					return exitError{exitUnusable, err.Error()}
				}
				series := &hollowfleet.Series{}
				if err = json.Unmarshal(text, series); err != nil || len(series.Runs) == 0 {
					return exitError{exitUnusable, path + " holds no runs of a hollow fleet"}
				}
				fmt.Fprintf(command.OutOrStdout(), "\n`%s` (%s)\n\n", series.Command, series.Mechanism)
				series.Table(command.OutOrStdout(), filepath.Base(path))
			}
			return nil
		}}
}
