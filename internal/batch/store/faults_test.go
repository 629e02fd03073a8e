package store

import (
	"fmt"
	"strings"
	"testing"

	"lemonarch/internal/control/register"
)

// The rim of real stores (campaign, term, feeding, set changes) over the transport
// in memory and fake disks: the leader is cut off, killed, loses its disk, or is to
// be emptied, in an order drawn from the seed. What was told holds after each.
func TestStoresUnderFaults(t *testing.T) {
	for seed := int64(1); seed <= 2; seed++ {
		fleet := newStoreFleet(t, seed)
		fleet.submitAndCheck()
		for _, fault := range fleet.random.Perm(4) {
			old := fleet.leaderStore()
			name := old.Node.Self.Name
			number := int(name[1] - '0')
			switch fault {
			case 0:
				fleet.network.SetPartitioned(old.Node.Self.Address, true)
				fleet.submitAndCheck()
				fleet.network.SetPartitioned(old.Node.Self.Address, false)
			case 1:
				fleet.stopServer(old)
				fleet.disks[name].PowerLoss()
				again := fleet.start(number, "unused")
				if strings.HasPrefix(again.Node.Self.Disk, "unused") {
					t.Fatal("the disk forgot who it is")
				}
				go again.election.Run()
			case 2:
				fleet.stopServer(old)
				fleet.disks[name].PowerLoss()
				fleet.disks[name].Wipe()
				fresh := fmt.Sprint(name, "-wiped")
				again := fleet.start(number, fresh)
				go again.election.Run()
				fleet.submitAndCheck()
				fleet.waitFor("the set is complete without the lost disk", func() bool {
					records := fleet.storeSetDisks()
					disk, in := records[name]
					return len(records) == 3 && (!in || disk == fresh)
				})
			case 3:
				fleet.register.lock.Lock()
				fleet.register.change(register.Retire(name))
				fleet.register.lock.Unlock()
				fleet.waitFor("the retired store is left", func() bool { _, in := fleet.storeSetDisks()[name]; return !in })
			}
			fleet.submitAndCheck()
		}
		fleet.waitFor("the set is complete", func() bool { return len(fleet.storeSetDisks()) == 3 })
	}
}
