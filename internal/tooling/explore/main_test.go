package explore

import (
	"os"
	"testing"

	"lemonarch/internal/tooling/simulation"
)

func TestMain(main *testing.M) {
	if err := simulation.PinRapid(200); err != nil {
		panic(err)
	}
	os.Exit(main.Run())
}
