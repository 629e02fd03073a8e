package agent

import (
	"sort"
	"strconv"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// reportZones returns the number of known processes in each zone, including this one.
func (a *Agent) reportZones() *messages.StatusResponse {
	counts, zones := map[string]int{}, []string{}
	for _, entry := range append([]messages.NodeInfo{a.Self}, a.All("")...) {
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

// reportNodes lists this process first, then the processes in its view.
func (a *Agent) reportNodes() *messages.StatusResponse {
	status := &messages.StatusResponse{Columns: []string{"process", "zone", "address", "heard-ms", "generation", "leaving"}}
	self := a.Self
	self.Generation = a.Generation()
	for _, entry := range append([]messages.NodeInfo{self}, a.All("")...) {
		status.Rows = append(status.Rows, []string{membership.Key(entry), entry.Zone, entry.Address,
			strconv.FormatInt(entry.AgeMs, 10), strconv.FormatInt(entry.Generation, 10), strconv.FormatBool(entry.Draining)})
	}
	return status
}

// reportConfig returns one row with the state of this process and the generation that it follows.
func (a *Agent) reportConfig() *messages.StatusResponse {
	return &messages.StatusResponse{Columns: []string{"generation", "life-s", "view", "unknown-frames"}, Rows: [][]string{{
		strconv.FormatInt(a.Generation(), 10), strconv.FormatInt((clock.WallNanos()-a.Self.Incarnation)/1_000_000_000, 10),
		strconv.Itoa(len(a.All(""))), strconv.FormatInt(a.UnknownFrames(), 10)}}}
}
