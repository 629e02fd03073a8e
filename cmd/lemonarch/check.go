package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"lemonarch/internal/configuration/configcheck"
	"lemonarch/internal/configuration/openapiimport"
	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/settings"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Args: cobra.ExactArgs(1),
		Short: "Check a settings file (TOML) or a configuration (JSON) as the daemons do",
		RunE: func(command *cobra.Command, arguments []string) error {
			text, err := os.ReadFile(arguments[0])
			if err != nil {
				return exitError{exitUnusable, err.Error()}
			}
			findings := findingsOf(text)
			for _, finding := range findings {
				fmt.Fprintln(command.OutOrStdout(), arguments[0]+": "+finding)
			}
			if len(findings) > 0 {
				return exitError{exitInvalid, fmt.Sprintf("%s is not valid, findings=%d", arguments[0], len(findings))}
			}
			fmt.Fprintln(command.OutOrStdout(), arguments[0]+": valid")
			return nil
		}}
}

// findingsOf checks a configuration (JSON) or a settings file (TOML) and returns the findings. A file
// whose first non-blank byte is a brace is treated as JSON.
func findingsOf(text []byte) []string {
	if bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
		checker, err := configcheck.New()
		if err != nil {
			return []string{err.Error()}
		}
		_, findings := checker.Check(text)
		return findings
	}
	nodeSettings, err := settings.Parse(text)
	if nodeSettings == nil {
		return []string{strings.ReplaceAll(err.Error(), "\n", " ")}
	}
	return nodeSettings.Check()
}

func importCommand() *cobra.Command {
	options := openapiimport.Options{}
	group := &cobra.Command{Use: "import", Short: "Create a configuration from other formats"}
	from := &cobra.Command{Use: "openapi FILE", Args: cobra.ExactArgs(1), Short: "Convert the paths of an OpenAPI file to routes",
		RunE: func(command *cobra.Command, arguments []string) error {
			text, err := os.ReadFile(arguments[0])
			if err != nil {
				return exitError{exitUnusable, err.Error()}
			}
			routes, findings, err := openapiimport.Import(text, options)
			if err != nil {
				return exitError{exitInvalid, strings.ReplaceAll(err.Error(), "\n", " ")}
			}
			imported := routeconfig.Config{Generation: 1, Routes: routes, Services: []routeconfig.Service{{Name: options.Backend}}}
			body, err := json.MarshalIndent(imported, "", "  ")
			if err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), string(body))
			if len(findings) == 0 {
				// The configuration that was written must pass the check that the daemons apply.
				findings = findingsOf(body)
			}
			for _, finding := range findings {
				fmt.Fprintln(command.ErrOrStderr(), arguments[0]+": "+finding)
			}
			if len(findings) > 0 {
				return exitError{exitInvalid, fmt.Sprintf("not all of %s could be mapped, findings=%d", arguments[0], len(findings))}
			}
			return nil
		}}
	from.Flags().StringVar(&options.Backend, "backend", "service", "name of the service that the routes go to")
	from.Flags().StringVar(&options.Host, "host", "", "host of the routes (default: that of the first server in the file)")
	from.Flags().IntVar(&options.CutoffMs, "cutoff-ms", 5000, "cutoff-ms of the routes")
	group.AddCommand(from)
	return group
}
