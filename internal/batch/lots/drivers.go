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
	heard clock.Instant
}

// Heard notes word from a driver. A newer life says that the process of the one
// before is gone, and its runs with it: its locks lapse at once.
func (d *Dispatcher) Heard(driver Driver, now clock.Instant) {
	seen := d.drivers[driver.Name]
	if seen == nil {
		seen = &seenDriver{life: driver.Life, zone: driver.Zone}
		d.drivers[driver.Name] = seen
		d.version++
	}
	d.outlived(driver, now)
	if driver.Life > seen.life {
		seen.life = driver.Life
		for _, acquisition := range d.live {
			if acquisition.Driver.Name == driver.Name && acquisition.Driver.Life < driver.Life {
				acquisition.until = now
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
func (d *Dispatcher) Quiet(now clock.Instant) bool {
	dropped := false
	for name, seen := range d.drivers {
		if now.Sub(seen.heard) >= constants.ExecutorTimeout {
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
func (d *Dispatcher) Drivers(known uint64, now clock.Instant) (uint64, []messages.ExecutorInfo) {
	version := d.epoch<<serialBits | d.version
	if version == known || now.Sub(d.taken) < 2*constants.ExecutorTimeout {
		return 0, nil
	}
	var found []messages.ExecutorInfo
	for name, seen := range d.drivers {
		found = append(found, messages.ExecutorInfo{Name: name, Zone: seen.zone})
	}
	sort.Slice(found, func(left, right int) bool { return found[left].Name < found[right].Name })
	return version, found
}
