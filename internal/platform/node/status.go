package node

import (
	"sort"
	"strconv"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// Report registers what this process says to a query of the shell. Reports read
// only, and are short.
func (n *Node) Report(query string, report func() *messages.StatusResponse) {
	n.reports[query] = report
}

func (n *Node) handleStatus(body []byte) ([]byte, error) {
	req := &messages.StatusRequest{}
	if err := transport.Decode(body, req); err != nil {
		return nil, err
	}
	resp := &messages.StatusResponse{}
	if report := n.reports[req.Query]; report != nil {
		resp = report()
	}
	if req.Zone != "" {
		resp.Rows = ofZone(resp, req.Zone)
	}
	if len(resp.Rows) > constants.StatusRows {
		// A bounded answer costs a node little; the cut is told.
		left := len(resp.Rows) - constants.StatusRows
		resp.Rows = resp.Rows[:constants.StatusRows]
		more := make([]string, len(resp.Columns))
		more[0] = "(" + strconv.Itoa(left) + " more)"
		resp.Rows = append(resp.Rows, more)
	}
	return transport.Encode(resp)
}

// ofZone keeps the rows that name a zone in their column of that name.
func ofZone(status *messages.StatusResponse, zone string) [][]string {
	var kept [][]string
	for i, column := range status.Columns {
		if column != "zone" {
			continue
		}
		for _, row := range status.Rows {
			if i < len(row) && row[i] == zone {
				kept = append(kept, row)
			}
		}
	}
	return kept
}

// reportZones counts the processes that this one knows by zone.
func (n *Node) reportZones() *messages.StatusResponse {
	counts, zones := map[string]int{}, []string{}
	for _, entry := range append([]messages.NodeInfo{n.Self}, n.All("")...) {
		if counts[entry.Zone] == 0 {
			zones = append(zones, entry.Zone)
		}
		counts[entry.Zone]++
	}
	sort.Strings(zones)
	status := &messages.StatusResponse{Columns: []string{"zone", "processes"}}
	for _, zone := range zones {
		status.Rows = append(status.Rows, []string{zone, strconv.Itoa(counts[zone])})
	}
	return status
}

// reportNodes lists the view of this process, itself first.
func (n *Node) reportNodes() *messages.StatusResponse {
	status := &messages.StatusResponse{Columns: []string{"process", "zone", "address", "heard-ms", "generation", "leaving"}}
	own := n.Self
	own.Generation = n.Generation()
	for _, entry := range append([]messages.NodeInfo{own}, n.All("")...) {
		status.Rows = append(status.Rows, []string{membership.Key(entry), entry.Zone, entry.Address,
			strconv.FormatInt(entry.AgeMs, 10), strconv.FormatInt(entry.Generation, 10), strconv.FormatBool(entry.Draining)})
	}
	return status
}

// reportSelf is one line on this process.
func (n *Node) reportSelf() *messages.StatusResponse {
	return &messages.StatusResponse{Columns: []string{"generation", "life-s", "view", "unknown-frames"}, Rows: [][]string{{
		strconv.FormatInt(n.Generation(), 10), strconv.FormatInt((clock.WallNanos()-n.Self.Incarnation)/1_000_000_000, 10),
		strconv.Itoa(len(n.All(""))), n.unknownFrames()}}}
}

func (n *Node) unknownFrames() string {
	if wire, real := n.Transport.(*transport.TCP); real {
		return strconv.FormatInt(wire.Unknown(), 10)
	}
	return "0"
}
