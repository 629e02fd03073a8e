package store

import (
	"fmt"
	"strings"
	"testing"

	"lemonarch/internal/control/register"
)

// Real stores (campaign, term, replication, set changes) run on an in-memory transport and fake
// disks. In an order drawn from the seed, the leader is partitioned, killed, loses its disk, or is
// retired. After each fault, everything that was acknowledged must still be in effect.
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
				restarted := fleet.start(number, "unused")
				if strings.HasPrefix(restarted.Node.Self.Disk, "unused") {
					t.Fatal("the restarted store has a new disk identity")
				}
				go restarted.election.Run()
			case 2:
				fleet.stopServer(old)
				fleet.disks[name].PowerLoss()
				fleet.disks[name].Wipe()
				wipedDisk := fmt.Sprint(name, "-wiped")
				restarted := fleet.start(number, wipedDisk)
				go restarted.election.Run()
				fleet.submitAndCheck()
				fleet.waitFor("the store set is complete without the lost disk", func() bool {
					disks := fleet.storeSetDisks()
					disk, member := disks[name]
					return len(disks) == 3 && (!member || disk == wipedDisk)
				})
			case 3:
				fleet.register.lock.Lock()
				fleet.register.change(register.Retire(name))
				fleet.register.lock.Unlock()
				fleet.waitFor("the retired store is no longer in the store set", func() bool { _, member := fleet.storeSetDisks()[name]; return !member })
			}
			fleet.submitAndCheck()
		}
		fleet.waitFor("the store set is complete", func() bool { return len(fleet.storeSetDisks()) == 3 })
	}
}
