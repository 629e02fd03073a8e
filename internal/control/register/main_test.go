package register_test

import (
	"fmt"
	"os"
	"testing"

	"lemonarch/internal/tooling/simulation"
)

// TestMain pins the seed of the property tests, so that they run the same histories each time.
func TestMain(m *testing.M) {
	if err := simulation.PinRapid(200); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}
