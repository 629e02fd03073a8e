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
	if metered, able := n.Transport.(transport.Metered); able {
		return metered.Meter()
	}
	return transport.NewMeter()
}

// recordLocalities tells the counters which hosts stand in this zone.
func (n *Node) recordLocalities(entries []messages.NodeInfo) {
	meter := n.meter()
	for _, entry := range entries {
		if entry.Zone != "" {
			meter.SetLocality(entry.Address, entry.Zone == n.Self.Zone)
		}
	}
}

// reportTraffic lists what was said and heard since the start, the busiest first.
func (n *Node) reportTraffic() *messages.StatusResponse {
	status := &messages.StatusResponse{Columns: []string{"kind", "place", "sent", "sent-bytes", "received", "received-bytes", "life-s"}}
	life := strconv.FormatInt((clock.WallNanos()-n.Self.Incarnation)/1_000_000_000, 10)
	number := func(value int64) string { return strconv.FormatInt(value, 10) }
	for _, sample := range n.meter().Samples() {
		status.Rows = append(status.Rows, []string{sample.Kind.String(), sample.Locality.String(), number(sample.Sent.Messages),
			number(sample.Sent.Bytes), number(sample.Received.Messages), number(sample.Received.Bytes), life})
	}
	return status
}

// logTraffic writes the counters as one line, with a pair for each kind and place.
func (n *Node) logTraffic(level hclog.Level) {
	values := []any{"life-ms", (clock.WallNanos() - n.Self.Incarnation) / 1_000_000}
	for _, sample := range n.meter().Samples() {
		values = append(values, sample.Kind.String()+"/"+sample.Locality.String(), strconv.FormatInt(sample.Sent.Messages, 10)+"msg+"+
			strconv.FormatInt(sample.Sent.Bytes, 10)+"B")
	}
	n.Log.Log(level, "traffic sent", values...)
}

// countTraffic logs the counters now and then for whoever measures.
func (n *Node) countTraffic() {
	if n.Log.IsDebug() {
		clock.Every(constants.TrafficPeriod, n.Stop, func() { n.logTraffic(hclog.Debug) })
	}
}
