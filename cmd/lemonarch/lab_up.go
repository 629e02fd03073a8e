package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/tooling/lab"
)

// newLabUp returns the command that starts a fleet and serves until it is stopped.
func newLabUp() *cobra.Command {
	plan, folder, families := lab.NewPlan(), "", ""
	command := &cobra.Command{Use: "up", Args: cobra.NoArgs,
		Short: "Start a small fleet on loopback with emulated workers, and serve until stopped",
		Long: "Starts the gateway, controller and store programs found beside this program, and emulated workers,\n" +
			"each node on a loopback address of its own. Ctrl-C (SIGINT) or SIGTERM stops all of them.",
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(contexts.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			var err error
			if families != "" {
				if plan.Families, err = lab.ReadFamilies(families); err != nil {
					return exitError{exitUnusable, oneLine(err)}
				}
			}
			fleet, err := lab.Start(ctx, plan, folder)
			if err != nil {
				return exitError{exitInvalid, oneLine(err)}
			}
			defer fleet.Stop()
			printSummary(command.OutOrStdout(), fleet)
			select {
			case <-ctx.Done():
				fmt.Fprintln(command.OutOrStdout(), "stopping")
				return nil
			case err := <-fleet.Failed:
				return exitError{exitInvalid, oneLine(err)}
			}
		}}
	planFlags(command, &plan)
	command.Flags().StringVar(&families, "fleet", "", "file of model families with their own workers (docs/lab.md)")
	command.Flags().StringVar(&folder, "folder", "", "folder for settings, logs and data (default: a temporary one, removed at the end)")
	return command
}

func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", " ") }

// printSummary prints the addresses of the fleet, its process ids and example commands.
func printSummary(writer io.Writer, fleet *lab.Fleet) {
	info := fleet.Info()
	fmt.Fprintf(writer, "ready: %d processes, %d emulated workers, all on loopback\n", len(info.Programs), len(info.Workers))
	fmt.Fprintln(writer, "  requests      http://"+strings.Join(info.Ingress, " http://"))
	fmt.Fprintln(writer, "  configuration http://"+strings.Join(info.Controls, " http://"))
	fmt.Fprintln(writer, "  control       http://"+fleet.Plan.Endpoint())
	fmt.Fprintln(writer, "  files         "+fleet.Folder)
	names := make([]string, 0, len(info.Programs))
	for name, id := range info.Programs {
		names = append(names, fmt.Sprintf("%s=%d", name, id))
	}
	sort.Strings(names)
	fmt.Fprintln(writer, "  processes     "+strings.Join(names, " "))
	fmt.Fprintln(writer, "try, in another terminal:")
	fmt.Fprintf(writer, "  curl -s -i http://%s/status/1 -H 'Host: %s' -H 'Lemonarch-Attempt-Id: first' -d hello\n", info.Ingress[0], lab.Host)
	fmt.Fprintf(writer, "  %s shell --seed %s nodes\n", os.Args[0], info.Seed)
	fmt.Fprintf(writer, "  %s lab load --endpoint %s\n", os.Args[0], fleet.Plan.Endpoint())
	fmt.Fprintln(writer, "Ctrl-C ends everything.")
}

// planFlags registers the flags of a fleet.
func planFlags(command *cobra.Command, plan *lab.Plan) {
	plan.Programs = programFolder()
	flags := command.Flags()
	flags.IntVar(&plan.Gateways, "gateways", plan.Gateways, "number of gateways")
	flags.IntVar(&plan.Controllers, "controllers", plan.Controllers, "number of controllers")
	flags.IntVar(&plan.Stores, "stores", plan.Stores, "number of stores")
	flags.IntVar(&plan.Workers, "workers", plan.Workers, "number of emulated model workers")
	flags.IntVar(&plan.Plain, "plain-workers", plan.Plain, "number of emulated workers for plain requests")
	flags.IntVar(&plan.Zones, "zones", plan.Zones, "number of zones over which processes and workers are spread")
	flags.IntVar(&plan.Capacity, "capacity", plan.Capacity, "requests that a model worker runs concurrently")
	flags.Int64Var(&plan.CacheTokens, "cache-tokens", plan.CacheTokens, "cache size of a model worker, in tokens")
	flags.Int64Var(&plan.Seed, "seed", plan.Seed, "random seed of the emulated workers' faults")
	flags.StringVar(&plan.Network, "network", plan.Network, "first three bytes of the loopback addresses")
	flags.StringVar(&plan.Programs, "programs", plan.Programs, "folder with the gateway, controller and store programs")
	flags.StringVar(&plan.Configuration, "configuration", "", "file with the initial configuration (default: the lab's built-in one)")
}

// programFolder returns the folder of this program, or "target" if the path of this program is unknown.
func programFolder() string {
	path, err := os.Executable()
	if err != nil {
		return "target"
	}
	return filepath.Dir(path)
}
