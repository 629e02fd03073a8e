package node

import (
	"strconv"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// meter gives the transport's counters; a transport without any counts nothing.
func (n *Node) meter() *transport.Meter {
	if metered, able := n.Wire.(transport.Metered); able {
		return metered.Meter()
	}
	return transport.NewMeter()
}

// learnPlaces tells the counters which hosts stand in this zone.
func (n *Node) learnPlaces(entries []messages.Entry) {
	meter := n.meter()
	for _, entry := range entries {
		if entry.Zone != "" {
			meter.Learn(entry.Address, entry.Zone == n.Own.Zone)
		}
	}
}

// reportTraffic lists what was said and heard since the start, the busiest first.
func (n *Node) reportTraffic() *messages.Status {
	status := &messages.Status{Columns: []string{"kind", "place", "sent", "sent-bytes", "received", "received-bytes", "life-s"}}
	life := strconv.FormatInt((clock.Wall()-n.Own.Life)/1_000_000_000, 10)
	number := func(value int64) string { return strconv.FormatInt(value, 10) }
	for _, one := range n.meter().Readings() {
		status.Rows = append(status.Rows, []string{one.Kind.String(), one.Place.String(), number(one.Sent.Messages),
			number(one.Sent.Bytes), number(one.Received.Messages), number(one.Received.Bytes), life})
	}
	return status
}

// logTraffic writes the counters as one line, with a pair for each kind and place.
func (n *Node) logTraffic(level hclog.Level) {
	values := []any{"life-ms", (clock.Wall() - n.Own.Life) / 1_000_000}
	for _, one := range n.meter().Readings() {
		values = append(values, one.Kind.String()+"/"+one.Place.String(), strconv.FormatInt(one.Sent.Messages, 10)+"msg+"+
			strconv.FormatInt(one.Sent.Bytes, 10)+"B")
	}
	n.Log.Log(level, "traffic sent", values...)
}

// countTraffic logs the counters now and then for whoever measures.
func (n *Node) countTraffic() {
	if n.Log.IsDebug() {
		clock.Every(constants.TrafficPeriod, n.Stop, func() { n.logTraffic(hclog.Debug) })
	}
}
