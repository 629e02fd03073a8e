package process

import (
	"strconv"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// meter returns the transport's meter, or an empty one if the transport has none.
func (r *Runtime) meter() *transport.Meter {
	if metered, ok := r.Transport.(transport.Metered); ok {
		return metered.Meter()
	}
	return transport.NewMeter()
}

// RecordLocalities records in the traffic meter which hosts are in this process's zone. Nodes without
// a zone are ignored.
func (r *Runtime) RecordLocalities(nodes []messages.NodeInfo) {
	meter := r.meter()
	for _, node := range nodes {
		if node.Zone != "" {
			meter.SetLocality(node.Address, node.Zone == r.Self.Zone)
		}
	}
}

// reportTraffic lists the traffic since the start by kind and locality, ordered by bytes sent, largest
// first.
func (r *Runtime) reportTraffic() *messages.StatusResponse {
	status := &messages.StatusResponse{Columns: []string{"kind", "place", "sent", "sent-bytes", "received", "received-bytes", "life-s"}}
	ageSeconds := strconv.FormatInt((clock.WallNanos()-r.Self.Incarnation)/1_000_000_000, 10)
	format := func(value int64) string { return strconv.FormatInt(value, 10) }
	for _, sample := range r.meter().Samples() {
		status.Rows = append(status.Rows, []string{sample.Kind.String(), sample.Locality.String(), format(sample.Sent.Messages),
			format(sample.Sent.Bytes), format(sample.Received.Messages), format(sample.Received.Bytes), ageSeconds})
	}
	return status
}

// LogTraffic logs the counters in one line, with a key=value pair for each kind and locality.
func (r *Runtime) LogTraffic(level hclog.Level) {
	values := []any{"life-ms", (clock.WallNanos() - r.Self.Incarnation) / 1_000_000}
	for _, sample := range r.meter().Samples() {
		values = append(values, sample.Kind.String()+"/"+sample.Locality.String(), strconv.FormatInt(sample.Sent.Messages, 10)+"msg+"+
			strconv.FormatInt(sample.Sent.Bytes, 10)+"B")
	}
	r.Log.Log(level, "traffic sent", values...)
}

// logTrafficPeriodically logs the counters each TrafficPeriod if debug logging is on, for measurements.
func (r *Runtime) logTrafficPeriodically() {
	if r.Log.IsDebug() {
		clock.Every(constants.TrafficPeriod, r.Stop, func() { r.LogTraffic(hclog.Debug) })
	}
}

// UnknownFrames returns how many frames since the start were of an unknown type or kind, or failed with
// an error of their handler. It returns 0 for a transport other than TCP.
func (r *Runtime) UnknownFrames() int64 {
	if tcp, ok := r.Transport.(*transport.TCP); ok {
		return tcp.UnknownFrames()
	}
	return 0
}
