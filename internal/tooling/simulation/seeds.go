package simulation

import (
	"flag"
	"os"
	"strconv"
)

// SeedsVariable names the environment variable that says how many seeds a test
// plays in place of the few that CI plays.
const SeedsVariable = "LEMONARCH_SEEDS"

// Seeds tells how many seeds a test plays: few, unless the environment says more.
func Seeds(few int) int {
	if count, err := strconv.Atoi(os.Getenv(SeedsVariable)); err == nil && count > 0 {
		return count
	}
	return few
}

// PinRapid makes the property tests of a package play the same histories each time,
// as many as Seeds tells, and leave no files behind. A test's TestMain calls it; flags
// given on the command line win.
func PinRapid(few int) error {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(item *flag.Flag) { given[item.Name] = true })
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
