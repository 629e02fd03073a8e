package leadership

import (
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// firstStores proposes the initial store set: as many stores as are needed to tolerate the
// fault budget, spread over as many zones as possible. It returns nil while more stores, or
// stores in more zones, may still appear.
func (c *Campaign) firstStores() []messages.Member {
	size := 2*c.node.Settings.Budget() + 1
	known := []messages.Member{c.Member()}
	for _, store := range c.node.Live(membership.RoleStore) {
		known = append(known, messages.Member{Name: store.Name, Disk: store.Disk, Address: store.Address, Zone: store.Zone})
	}
	waitElapsed := clock.Now().Sub(c.node.StartedAt) >= constants.BootstrapWait
	if !waitElapsed && (len(known) < size || countZones(known) < c.firstZones(size)) {
		return nil
	}
	return spreadOverZones(known, size)
}

// firstZones returns how many zones the initial store set should span: all zones listed in the
// settings or, if none are listed, enough to tolerate the loss of the zones in the fault budget;
// at most size.
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

// spreadOverZones selects up to size of the known stores, first one of each zone, then any.
func spreadOverZones(known []messages.Member, size int) []messages.Member {
	var chosen []messages.Member
	selected, zones := map[string]bool{}, map[string]bool{}
	for _, newZonesOnly := range []bool{true, false} {
		for _, member := range known {
			if len(chosen) < size && !selected[member.Name] && (!newZonesOnly || !zones[member.Zone]) {
				selected[member.Name], zones[member.Zone] = true, true
				chosen = append(chosen, member)
			}
		}
	}
	return chosen
}
