package process

import (
	"strconv"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// meter gives the transport's counters; a transport without any counts nothing.
func (r *Runtime) meter() *transport.Meter {
	if metered, ok := r.Transport.(transport.Metered); ok {
		return metered.Meter()
	}
	return transport.NewMeter()
}

// RecordLocalities tells the traffic counters which hosts are in this process's zone.
func (r *Runtime) RecordLocalities(nodes []messages.NodeInfo) {
	meter := r.meter()
	for _, node := range nodes {
		if node.Zone != "" {
			meter.SetLocality(node.Address, node.Zone == r.Self.Zone)
		}
	}
}

// reportTraffic lists what was sent and received since the start, the busiest first.
func (r *Runtime) reportTraffic() *messages.StatusResponse {
	status := &messages.StatusResponse{Columns: []string{"kind", "place", "sent", "sent-bytes", "received", "received-bytes", "life-s"}}
	ageSeconds := strconv.FormatInt((clock.WallNanos()-r.Self.Incarnation)/1_000_000_000, 10)
	number := func(value int64) string { return strconv.FormatInt(value, 10) }
	for _, sample := range r.meter().Samples() {
		status.Rows = append(status.Rows, []string{sample.Kind.String(), sample.Locality.String(), number(sample.Sent.Messages),
			number(sample.Sent.Bytes), number(sample.Received.Messages), number(sample.Received.Bytes), ageSeconds})
	}
	return status
}

// LogTraffic writes the counters as one line, with a pair for each kind and locality.
func (r *Runtime) LogTraffic(level hclog.Level) {
	values := []any{"life-ms", (clock.WallNanos() - r.Self.Incarnation) / 1_000_000}
	for _, sample := range r.meter().Samples() {
		values = append(values, sample.Kind.String()+"/"+sample.Locality.String(), strconv.FormatInt(sample.Sent.Messages, 10)+"msg+"+
			strconv.FormatInt(sample.Sent.Bytes, 10)+"B")
	}
	r.Log.Log(level, "traffic sent", values...)
}

// logTrafficPeriodically logs the counters at debug level, for measurements.
func (r *Runtime) logTrafficPeriodically() {
	if r.Log.IsDebug() {
		clock.Every(constants.TrafficPeriod, r.Stop, func() { r.LogTraffic(hclog.Debug) })
	}
}

// UnknownFrames is how many frames of unknown kinds were skipped since the start.
func (r *Runtime) UnknownFrames() int64 {
	if tcp, ok := r.Transport.(*transport.TCP); ok {
		return tcp.UnknownFrames()
	}
	return 0
}
