package trestle

import (
	"strconv"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// meter gives the transport's counters; a transport without any counts nothing.
func (trestle *Trestle) meter() *tongs.Meter {
	if metered, able := trestle.Wire.(tongs.Metered); able {
		return metered.Meter()
	}
	return tongs.NewMeter()
}

// learnPlaces tells the counters which hosts stand in this hall.
func (trestle *Trestle) learnPlaces(entries []pattern.Entry) {
	meter := trestle.meter()
	for _, entry := range entries {
		if entry.Hall != "" {
			meter.Learn(entry.Address, entry.Hall == trestle.Own.Hall)
		}
	}
}

// reportTraffic lists what was said and heard since the start, the busiest first.
func (trestle *Trestle) reportTraffic() *pattern.Status {
	status := &pattern.Status{Columns: []string{"kind", "place", "sent", "sent-bytes", "received", "received-bytes", "life-s"}}
	life := strconv.FormatInt((watch.Wall()-trestle.Own.Life)/1_000_000_000, 10)
	number := func(value int64) string { return strconv.FormatInt(value, 10) }
	for _, one := range trestle.meter().Readings() {
		status.Rows = append(status.Rows, []string{one.Kind.String(), one.Place.String(), number(one.Sent.Messages),
			number(one.Sent.Bytes), number(one.Received.Messages), number(one.Received.Bytes), life})
	}
	return status
}

// logTraffic writes the counters as one line, with a pair for each kind and place.
func (trestle *Trestle) logTraffic(level hclog.Level) {
	values := []any{"life-ms", (watch.Wall() - trestle.Own.Life) / 1_000_000}
	for _, one := range trestle.meter().Readings() {
		values = append(values, one.Kind.String()+"/"+one.Place.String(), strconv.FormatInt(one.Sent.Messages, 10)+"msg+"+
			strconv.FormatInt(one.Sent.Bytes, 10)+"B")
	}
	trestle.Log.Log(level, "traffic sent", values...)
}

// countTraffic logs the counters now and then for whoever measures.
func (trestle *Trestle) countTraffic() {
	if trestle.Log.IsDebug() {
		watch.Every(almanac.TrafficPeriod, trestle.Stop, func() { trestle.logTraffic(hclog.Debug) })
	}
}
