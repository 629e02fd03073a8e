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

	"lemonarch/internal/errand"
	"lemonarch/internal/sawhorse"
)

// newLabUp is the command that starts a fleet and serves until it is stopped.
func newLabUp() *cobra.Command {
	plan, folder := sawhorse.NewPlan(), ""
	command := &cobra.Command{Use: "up", Args: cobra.NoArgs,
		Short: "Start a small fleet on loopback with emulated workers, and serve until stopped",
		Long: "Starts forges, foremen and lockers found beside this program, and emulated workers,\n" +
			"each node on a loopback address of its own. Ctrl-C (SIGINT) or SIGTERM ends everything.",
		RunE: func(command *cobra.Command, _ []string) error {
			until, halt := signal.NotifyContext(errand.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer halt()
			fleet, failure := sawhorse.Start(until, plan, folder)
			if failure != nil {
				return coded{exitInvalid, oneLine(failure)}
			}
			defer fleet.Stop()
			describe(command.OutOrStdout(), fleet)
			select {
			case <-until.Done():
				fmt.Fprintln(command.OutOrStdout(), "stopping")
				return nil
			case failure := <-fleet.Died:
				return coded{exitInvalid, oneLine(failure)}
			}
		}}
	planFlags(command, &plan)
	command.Flags().StringVar(&folder, "folder", "", "keep settings, logs and data in this folder (default: a temporary one that goes away)")
	return command
}

func oneLine(failure error) string { return strings.ReplaceAll(failure.Error(), "\n", " ") }

// describe prints where to call.
func describe(writer io.Writer, fleet *sawhorse.Fleet) {
	card := fleet.Card()
	fmt.Fprintf(writer, "ready: %d processes, %d emulated workers, all on loopback\n", len(card.Programs), len(card.Workers))
	fmt.Fprintln(writer, "  requests      http://"+strings.Join(card.Ingress, " http://"))
	fmt.Fprintln(writer, "  configuration http://"+strings.Join(card.Controls, " http://"))
	fmt.Fprintln(writer, "  desk          http://"+fleet.Plan.Desk())
	fmt.Fprintln(writer, "  files         "+fleet.Folder)
	names := make([]string, 0, len(card.Programs))
	for name, id := range card.Programs {
		names = append(names, fmt.Sprintf("%s=%d", name, id))
	}
	sort.Strings(names)
	fmt.Fprintln(writer, "  processes     "+strings.Join(names, " "))
	fmt.Fprintln(writer, "try, in another terminal:")
	fmt.Fprintf(writer, "  curl -s -i http://%s/status/1 -H 'Host: %s' -H 'Lemonarch-Attempt-Id: first' -d hello\n", card.Ingress[0], sawhorse.Host)
	fmt.Fprintf(writer, "  %s shell --seed %s nodes\n", os.Args[0], card.Seed)
	fmt.Fprintf(writer, "  %s lab load --desk %s\n", os.Args[0], fleet.Plan.Desk())
	fmt.Fprintln(writer, "Ctrl-C ends everything.")
}

// planFlags are the flags of a fleet.
func planFlags(command *cobra.Command, plan *sawhorse.Plan) {
	plan.Programs = besides()
	flags := command.Flags()
	flags.IntVar(&plan.Forges, "forges", plan.Forges, "forges")
	flags.IntVar(&plan.Foremen, "foremen", plan.Foremen, "foremen")
	flags.IntVar(&plan.Lockers, "lockers", plan.Lockers, "lockers")
	flags.IntVar(&plan.Workers, "workers", plan.Workers, "emulated model workers")
	flags.IntVar(&plan.Plain, "plain-workers", plan.Plain, "emulated workers of plain requests")
	flags.IntVar(&plan.Zones, "zones", plan.Zones, "zones over which all of them are spread")
	flags.IntVar(&plan.Capacity, "capacity", plan.Capacity, "requests that a model worker runs at once")
	flags.Int64Var(&plan.CacheTokens, "cache-tokens", plan.CacheTokens, "memory of a model worker, in tokens")
	flags.Int64Var(&plan.Seed, "seed", plan.Seed, "seed of the emulated workers' troubles")
	flags.StringVar(&plan.Network, "network", plan.Network, "first three bytes of the loopback addresses")
	flags.StringVar(&plan.Programs, "programs", plan.Programs, "folder with forge, foreman and locker")
	flags.StringVar(&plan.Configuration, "configuration", "", "file of the first configuration (default: the lab's own)")
}

// besides is the folder of this program.
func besides() string {
	path, failure := os.Executable()
	if failure != nil {
		return "target"
	}
	return filepath.Dir(path)
}
