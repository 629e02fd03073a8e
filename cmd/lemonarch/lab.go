package main

import "github.com/spf13/cobra"

// labCommand returns the group of commands that try the system on one machine. None of them is part
// of the serving tier, and the daemons import none of their packages.
func labCommand() *cobra.Command {
	group := &cobra.Command{Use: "lab", Short: "Try the system on one machine: start a fleet on loopback and send load to it"}
	group.AddCommand(newLabUp(), newLabLoad(), newLabSoak(), labForecastCommand(), hollowCommand())
	return group
}
