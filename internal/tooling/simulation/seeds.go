package simulation

import (
	"flag"
	"os"
	"strconv"
)

// SeedsVariable is the name of the environment variable that sets how many seeds a test runs,
// in place of the few that CI runs.
const SeedsVariable = "LEMONARCH_SEEDS"

// Seeds returns how many seeds a test runs: the value of the environment variable if it is a
// positive number, otherwise few.
func Seeds(few int) int {
	if count, err := strconv.Atoi(os.Getenv(SeedsVariable)); err == nil && count > 0 {
		return count
	}
	return few
}

// PinRapid makes the property tests of a package (pgregory.net/rapid) run the same histories
// each time, as many as Seeds returns, and leave no fail files behind. It is called from a
// package's TestMain. Flags given on the command line take precedence.
func PinRapid(few int) error {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(option *flag.Flag) { given[option.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": strconv.Itoa(Seeds(few)), "rapid.nofailfile": "true",
	} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			return err
		}
	}
	return nil
}
