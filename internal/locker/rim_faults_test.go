package locker

import (
	"fmt"
	"strings"
	"testing"

	"lemonarch/internal/vise"
)

// The rim of real lockers (campaign, reign, feeding, set changes) over the transport
// in memory and fake disks: the holder is cut off, killed, loses its disk, or is to
// be emptied, in an order drawn from the seed. What was told holds after each.
func TestRimOfLockers(test *testing.T) {
	for seed := int64(1); seed <= 2; seed++ {
		fleet := newRimFleet(test, seed)
		fleet.work()
		for _, fault := range fleet.random.Perm(4) {
			old := fleet.holder()
			name := old.Stand.Own.Name
			number := int(name[1] - '0')
			switch fault {
			case 0:
				fleet.room.Cut(old.Stand.Own.Address, true)
				fleet.work()
				fleet.room.Cut(old.Stand.Own.Address, false)
			case 1:
				fleet.stop(old)
				fleet.disks[name].PowerLoss()
				again := fleet.start(number, "unused")
				if strings.HasPrefix(again.Stand.Own.Disk, "unused") {
					test.Fatal("the disk forgot who it is")
				}
				go again.campaign()
			case 2:
				fleet.stop(old)
				fleet.disks[name].PowerLoss()
				fleet.disks[name].Wipe()
				fresh := fmt.Sprint(name, "-wiped")
				again := fleet.start(number, fresh)
				go again.campaign()
				fleet.work()
				fleet.until("the wiped store is made whole", func() bool { disk, in := fleet.stores()[name]; return !in || disk == fresh })
			case 3:
				fleet.register.lock.Lock()
				fleet.register.change(vise.Retire(name))
				fleet.register.lock.Unlock()
				fleet.until("the retired store is left", func() bool { _, in := fleet.stores()[name]; return !in })
			}
			fleet.work()
		}
		if len(fleet.stores()) != 3 {
			test.Fatal(fleet.stores())
		}
	}
}
