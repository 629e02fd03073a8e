package hollowfleet

import (
	"fmt"
	"io"

	"lemonarch/internal/platform/clock"
)

// teller says now and then how far a long run is.
type teller struct {
	writer io.Writer
	last   clock.Instant
}

const tellPeriod = 5_000_000_000

func newTeller(writer io.Writer) *teller { return &teller{writer: writer, last: clock.Now()} }

func (t *teller) tell(fleet *Fleet, complete clock.Instant) {
	if t.writer == nil || clock.Now().Sub(t.last) < tellPeriod {
		return
	}
	t.last = clock.Now()
	fmt.Fprintf(t.writer, "hollow nodes=%d workers=%d simulated-s=%.0f of=%.0f\n", fleet.Plan.Nodes, fleet.Plan.Workers,
		float64(fleet.world.Now)/1e9, float64(complete)/1e9)
}
