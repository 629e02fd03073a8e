package explore

import (
	"os"
	"testing"

	"lemonarch/internal/tooling/simulation"
)

func TestMain(m *testing.M) {
	if err := simulation.PinRapid(200); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
