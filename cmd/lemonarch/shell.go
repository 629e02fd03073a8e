package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"lemonarch/internal/almanac"
	"lemonarch/internal/loupe"
	"lemonarch/internal/mishap"
	"lemonarch/internal/tongs"
)

func shellCommand() *cobra.Command {
	seed, format, limit := "", "table", almanac.StatusTime
	command := &cobra.Command{Use: "shell [QUERY]", Args: cobra.MaximumNArgs(1),
		Short: "Ask a fleet for its state; without a query, interactively",
		Long:  "Queries:\n" + help()}
	command.Flags().StringVar(&seed, "seed", "", "internal address of any process, host:port")
	command.Flags().StringVar(&format, "output", format, "table or json")
	command.Flags().DurationVar(&limit, "limit", limit, "how long to wait for each process")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		if format != "table" && format != "json" {
			return coded{exitUnusable, "--output must be table or json"}
		}
		if limit <= 0 {
			return coded{exitUnusable, "--limit must be above 0"}
		}
		wire := tongs.NewWire("")
		defer wire.Close()
		glass, failure := loupe.New(wire, seed, limit)
		if failure != nil {
			return coded{exitUnusable, failure.Error()}
		}
		if len(arguments) == 1 {
			return show(command.OutOrStdout(), glass, arguments[0], format)
		}
		return converse(command.InOrStdin(), command.OutOrStdout(), glass, format)
	}
	return command
}

func help() string {
	text := ""
	for _, name := range loupe.QueryNames() {
		text += fmt.Sprintf("  %-13s %s\n", name, loupe.Queries[name].Shows)
	}
	return text
}

func show(writer io.Writer, glass *loupe.Loupe, query, format string) error {
	answers, failure := glass.Ask(query)
	if mishap.Of(failure, loupe.BadCall) {
		return coded{exitUnusable, failure.Error()}
	}
	if failure != nil {
		return coded{exitInvalid, failure.Error()}
	}
	if format == "json" {
		return loupe.JSON(writer, answers)
	}
	loupe.Table(writer, answers)
	return nil
}

// converse reads queries line by line until the end.
func converse(reader io.Reader, writer io.Writer, glass *loupe.Loupe, format string) error {
	lines := bufio.NewScanner(reader)
	fmt.Fprint(writer, "lemonarch> ")
	for lines.Scan() {
		switch line := strings.TrimSpace(lines.Text()); line {
		case "":
		case "quit", "exit":
			return nil
		case "help":
			fmt.Fprint(writer, help())
		default:
			if failure := show(writer, glass, line, format); failure != nil {
				// One wrong query does not end the conversation.
				fmt.Fprintln(os.Stderr, failure.Error())
			}
		}
		fmt.Fprint(writer, "lemonarch> ")
	}
	fmt.Fprintln(writer)
	return lines.Err()
}
