package lots

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// seenDriver is a driver that has asked for items or acknowledged lately.
type seenDriver struct {
	life  int64
	zone  string
	heard clock.Moment
}

// Heard notes word from a driver. A newer life says that the process of the one
// before is gone, and its runs with it: its locks lapse at once.
func (d *Dispatcher) Heard(driver Driver, now clock.Moment) {
	seen := d.drivers[driver.Name]
	if seen == nil {
		seen = &seenDriver{life: driver.Life, zone: driver.Zone}
		d.drivers[driver.Name] = seen
		d.version++
	}
	d.outlived(driver, now)
	if driver.Life > seen.life {
		seen.life = driver.Life
		for _, one := range d.live {
			if one.Driver.Name == driver.Name && one.Driver.Life < driver.Life {
				one.until = now
			}
		}
	}
	if driver.Life == seen.life {
		seen.heard = now
	}
}

// Left notes that a driver goes away and will ask no more.
func (d *Dispatcher) Left(driver Driver) {
	if d.drivers[driver.Name] != nil {
		delete(d.drivers, driver.Name)
		d.version++
	}
}

// Quiet drops drivers that say nothing; what they hold waits for its locks.
func (d *Dispatcher) Quiet(now clock.Moment) bool {
	dropped := false
	for name, seen := range d.drivers {
		if now.Since(seen.heard) >= constants.DriverSilent {
			delete(d.drivers, name)
			d.version++
			dropped = true
		}
	}
	return dropped
}

// Drivers lists the drivers that say something, so that they share the workers,
// with the version of the list, which rises over all epochs. There is none where the
// asker knows it, nor before every driver had the time to speak.
func (d *Dispatcher) Drivers(known uint64, now clock.Moment) (uint64, []messages.DriverAt) {
	version := d.epoch<<serialBits | d.version
	if version == known || now.Since(d.taken) < 2*constants.DriverSilent {
		return 0, nil
	}
	var found []messages.DriverAt
	for name, seen := range d.drivers {
		found = append(found, messages.DriverAt{Name: name, Zone: seen.zone})
	}
	sort.Slice(found, func(left, right int) bool { return found[left].Name < found[right].Name })
	return version, found
}
