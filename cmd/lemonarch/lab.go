package main

import "github.com/spf13/cobra"

// labCommand holds what a newcomer starts on one machine: nothing below it is part of
// the serving tier, and the daemons import none of its packages.
func labCommand() *cobra.Command {
	group := &cobra.Command{Use: "lab", Short: "Try the system on one machine: a fleet on loopback, load for it"}
	group.AddCommand(newLabUp(), newLabLoad(), newLabSoak(), labForecastCommand(), hollowCommand())
	return group
}
