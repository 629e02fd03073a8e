package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"lemonarch/internal/tooling/hollowfleet"
)

func hollowJobsCommand() *cobra.Command {
	sizes, itemBytes, out, mechanism := []int{}, 0, "", ""
	command := &cobra.Command{Use: "lots", Args: cobra.NoArgs, Short: "Measure what one lot costs its holder and a store, by its items",
		RunE: func(command *cobra.Command, _ []string) error {
			for _, size := range sizes {
				if size < 1 || size > 1_000_000 {
					return exitError{exitUnusable, fmt.Sprintf("--items must each be 1 to 1000000, not %d", size)}
				}
			}
			if itemBytes < 1 || itemBytes > 64<<10 {
				return exitError{exitUnusable, fmt.Sprintf("--item-bytes must be 1 to 65536, not %d", itemBytes)}
			}
			series := hollowfleet.ProbeLots(sizes, itemBytes, command.ErrOrStderr())
			series.Command, series.Mechanism = "lemonarch "+strings.Join(os.Args[1:], " "), mechanism
			return writeJSON(command, out, series)
		}}
	command.Flags().IntSliceVar(&sizes, "items", []int{200, 2000, 20000, 100000, 420000}, "sizes of lots, parted by commas")
	command.Flags().IntVar(&itemBytes, "item-bytes", 400, "bytes of an item's body")
	command.Flags().StringVar(&out, "out", "", "file for the JSON; standard output where empty")
	command.Flags().StringVar(&mechanism, "mechanism", "", "a note in the result on what was measured")
	return command
}

// writeJSON writes a result to a file or to standard output.
func writeJSON(command *cobra.Command, path string, result any) error {
	text, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return exitError{exitInvalid, err.Error()}
	}
	if path == "" {
		fmt.Fprintln(command.OutOrStdout(), string(text))
		return nil
	}
	if err = os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return exitError{exitUnusable, err.Error()}
	}
	return nil
}
