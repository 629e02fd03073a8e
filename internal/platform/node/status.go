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
func (n *Node) Report(query string, report func() *messages.Status) {
	n.reports[query] = report
}

func (n *Node) reported(body []byte) ([]byte, error) {
	question := &messages.StatusAsk{}
	if err := transport.Read(body, question); err != nil {
		return nil, err
	}
	answer := &messages.Status{}
	if report := n.reports[question.Query]; report != nil {
		answer = report()
	}
	if question.Zone != "" {
		answer.Rows = ofZone(answer, question.Zone)
	}
	if len(answer.Rows) > constants.StatusRows {
		// A bounded answer costs a node little; the cut is told.
		left := len(answer.Rows) - constants.StatusRows
		answer.Rows = answer.Rows[:constants.StatusRows]
		more := make([]string, len(answer.Columns))
		more[0] = "(" + strconv.Itoa(left) + " more)"
		answer.Rows = append(answer.Rows, more)
	}
	return transport.Write(answer)
}

// ofZone keeps the rows that name a zone in their column of that name.
func ofZone(status *messages.Status, zone string) [][]string {
	var kept [][]string
	for place, column := range status.Columns {
		if column != "zone" {
			continue
		}
		for _, row := range status.Rows {
			if place < len(row) && row[place] == zone {
				kept = append(kept, row)
			}
		}
	}
	return kept
}

// reportZones counts the processes that this one knows by zone.
func (n *Node) reportZones() *messages.Status {
	counts, zones := map[string]int{}, []string{}
	for _, entry := range append([]messages.Entry{n.Own}, n.All("")...) {
		if counts[entry.Zone] == 0 {
			zones = append(zones, entry.Zone)
		}
		counts[entry.Zone]++
	}
	sort.Strings(zones)
	status := &messages.Status{Columns: []string{"zone", "processes"}}
	for _, zone := range zones {
		status.Rows = append(status.Rows, []string{zone, strconv.Itoa(counts[zone])})
	}
	return status
}

// reportNodes lists the view of this process, itself first.
func (n *Node) reportNodes() *messages.Status {
	status := &messages.Status{Columns: []string{"process", "zone", "address", "heard-ms", "generation", "leaving"}}
	own := n.Own
	own.Generation = n.Generation()
	for _, entry := range append([]messages.Entry{own}, n.All("")...) {
		status.Rows = append(status.Rows, []string{membership.Key(entry), entry.Zone, entry.Address,
			strconv.FormatInt(entry.AgeMs, 10), strconv.FormatInt(entry.Generation, 10), strconv.FormatBool(entry.Leaving)})
	}
	return status
}

// reportSelf is one line on this process.
func (n *Node) reportSelf() *messages.Status {
	return &messages.Status{Columns: []string{"generation", "life-s", "view", "unknown-frames"}, Rows: [][]string{{
		strconv.FormatInt(n.Generation(), 10), strconv.FormatInt((clock.Wall()-n.Own.Life)/1_000_000_000, 10),
		strconv.Itoa(len(n.All(""))), n.unknownFrames()}}}
}

func (n *Node) unknownFrames() string {
	if wire, real := n.Wire.(*transport.Wire); real {
		return strconv.FormatInt(wire.Unknown(), 10)
	}
	return "0"
}
