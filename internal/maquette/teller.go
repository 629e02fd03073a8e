package maquette

import (
	"fmt"
	"io"

	"lemonarch/internal/watch"
)

// teller says now and then how far a long run is.
type teller struct {
	writer io.Writer
	last   watch.Moment
}

const tellPeriod = 5_000_000_000

func newTeller(writer io.Writer) *teller { return &teller{writer: writer, last: watch.Now()} }

func (teller *teller) tell(fleet *Fleet, whole watch.Moment) {
	if teller.writer == nil || watch.Now().Since(teller.last) < tellPeriod {
		return
	}
	teller.last = watch.Now()
	fmt.Fprintf(teller.writer, "hollow nodes=%d workers=%d simulated-s=%.0f of=%.0f\n", fleet.Plan.Nodes, fleet.Plan.Workers,
		float64(fleet.world.Now)/1e9, float64(whole)/1e9)
}
