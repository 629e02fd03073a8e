package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/fleetshell"
)

func shellCommand() *cobra.Command {
	seed, format, limit := "", "table", constants.StatusTimeout
	command := &cobra.Command{Use: "shell [QUERY]", Args: cobra.MaximumNArgs(1),
		Short: "Query the state of a fleet; interactive if no query is given",
		Long:  "Queries:\n" + queryHelp()}
	command.Flags().StringVar(&seed, "seed", "", "internal address of any process, host:port")
	command.Flags().StringVar(&format, "output", format, "table or json")
	command.Flags().DurationVar(&limit, "limit", limit, "timeout for each process")
	command.RunE = func(command *cobra.Command, arguments []string) error {
		if err := checkFormat(format); err != nil {
			return err
		}
		if limit <= 0 {
			return exitError{exitUnusable, "--limit must be above 0"}
		}
		tcp := transport.NewTCP("")
		defer tcp.Close()
		shell, err := fleetshell.New(tcp, seed, limit)
		if err != nil {
			return exitError{exitUnusable, err.Error()}
		}
		if len(arguments) == 1 {
			return printQuery(command.OutOrStdout(), shell, arguments[0], format)
		}
		return runInteractive(command.InOrStdin(), command.OutOrStdout(), shell, format)
	}
	return command
}

func queryHelp() string {
	text := ""
	for _, name := range fleetshell.QueryNames() {
		text += fmt.Sprintf("  %-13s %s\n", name, fleetshell.Queries[name].Description)
	}
	return text
}

func printQuery(writer io.Writer, shell *fleetshell.Shell, query, format string) error {
	responses, err := shell.Query(query)
	if errs.Is(err, fleetshell.ErrInvalidCall) {
		return exitError{exitUnusable, err.Error()}
	}
	if err != nil {
		return exitError{exitInvalid, err.Error()}
	}
	if format == "json" {
		return fleetshell.JSON(writer, responses)
	}
	fleetshell.Table(writer, responses)
	return nil
}

// runInteractive reads queries line by line until quit, exit or the end of the input.
func runInteractive(reader io.Reader, writer io.Writer, shell *fleetshell.Shell, format string) error {
	lines := bufio.NewScanner(reader)
	fmt.Fprint(writer, "lemonarch> ")
	for lines.Scan() {
		switch text := strings.TrimSpace(lines.Text()); text {
		case "":
		case "quit", "exit":
			return nil
		case "help":
			fmt.Fprint(writer, queryHelp())
		default:
			if err := printQuery(writer, shell, text, format); err != nil {
				// A failed query does not end the session.
				fmt.Fprintln(os.Stderr, err.Error())
			}
		}
		fmt.Fprint(writer, "lemonarch> ")
	}
	fmt.Fprintln(writer)
	return lines.Err()
}
