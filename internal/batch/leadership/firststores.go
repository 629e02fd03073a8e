package leadership

import (
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// firstStores proposes the set of the first start: one store in each zone as far as that
// goes, as many as tolerate the fault budget. It is empty while further stores, or stores of
// further zones, may still come.
func (c *Campaign) firstStores() []messages.Member {
	size := 2*c.node.Settings.Budget() + 1
	known := []messages.Member{c.Member()}
	for _, entry := range c.node.Live(membership.RoleStore) {
		known = append(known, messages.Member{Name: entry.Name, Disk: entry.Disk, Address: entry.Address, Zone: entry.Zone})
	}
	waited := clock.Now().Sub(c.node.StartedAt) >= constants.BootstrapWait
	if !waited && (len(known) < size || countZones(known) < c.firstZones(size)) {
		return nil
	}
	return spreadOverZones(known, size)
}

// firstZones is how many zones the set of the first start should span: all that the settings
// name, or else as many as tolerate the loss of the zones in the fault budget, and no more than
// the set has members.
func (c *Campaign) firstZones(size int) int {
	zones := len(c.node.Settings.Zones)
	if zones == 0 {
		zones = 2*c.node.Settings.FaultBudget.Zones + 1
	}
	return min(zones, size)
}

func countZones(members []messages.Member) int {
	zones := map[string]bool{}
	for _, member := range members {
		zones[member.Zone] = true
	}
	return len(zones)
}

// spreadOverZones chooses up to size of the known stores, one of each zone first.
func spreadOverZones(known []messages.Member, size int) []messages.Member {
	var chosen []messages.Member
	taken, zones := map[string]bool{}, map[string]bool{}
	for _, newZonesOnly := range []bool{true, false} {
		for _, member := range known {
			if len(chosen) < size && !taken[member.Name] && (!newZonesOnly || !zones[member.Zone]) {
				taken[member.Name], zones[member.Zone] = true, true
				chosen = append(chosen, member)
			}
		}
	}
	return chosen
}
