package main

import (
	"strings"
	"testing"
)

// TestEarlierNamesOfJobCommands checks that the commands for batch jobs also work under their earlier
// names, with the same flags.
func TestEarlierNamesOfJobCommands(t *testing.T) {
	for _, names := range [][2]string{
		{"jobs", "lots"},
		{"jobs submit", "lots hand-in"},
		{"jobs follow", "lots follow"},
		{"jobs read", "lots read"},
		{"jobs cancel", "lots end"},
	} {
		current, _, err := rootCommand().Find(strings.Fields(names[0]))
		if err != nil {
			t.Fatalf("%s: %v", names[0], err)
		}
		earlier, _, err := rootCommand().Find(strings.Fields(names[1]))
		if err != nil {
			t.Fatalf("%s: %v", names[1], err)
		}
		if current.CommandPath() != earlier.CommandPath() || current.CommandPath() == "lemonarch" {
			t.Errorf("%s is command %q and %s is command %q, want the same subcommand", names[0], current.CommandPath(), names[1], earlier.CommandPath())
		}
	}
}
