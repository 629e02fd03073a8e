package broadcast

import (
	"sort"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Took notes that a send was answered; missing is what a wait brought.
func (j *Job) Took(send Send, missing []uint32, now clock.Moment) []Send {
	switch send.Step {
	case StepTell:
		delete(j.open, send.Address)
	case StepRelay:
		one := j.branches[send.Zone]
		if one.settled || one.relay != send.Address {
			return nil
		}
		// It lives and is at it: it is given the time that its zone may take.
		one.asked = now.Plus(constants.ZoneTime)
		return []Send{{Step: StepWait, Address: send.Address, Zone: send.Zone}}
	case StepWait:
		one := j.branches[send.Zone]
		if one.settled {
			return nil
		}
		one.settled = true
		left := map[uint32]bool{}
		for _, mark := range missing {
			left[mark] = true
		}
		// Whom the relay could not reach may be in reach from here.
		var again []messages.Entry
		for _, entry := range one.processes {
			if left[membership.MarkOf(entry)] {
				again = append(again, entry)
			}
		}
		return j.tell(again)
	}
	return nil
}

// Failed notes that a send was not answered or not taken.
func (j *Job) Failed(send Send, now clock.Moment) []Send {
	if send.Step != StepTell {
		one := j.branches[send.Zone]
		if one.relay != send.Address {
			return nil
		}
		return j.next(one, send.Zone, now)
	}
	if mark, known := j.marks[send.Address]; known && j.open[send.Address] {
		j.missing[mark] = true
	}
	delete(j.open, send.Address)
	if len(send.Pass) == 0 {
		return nil
	}
	// The next of its part takes its place.
	j.open[send.Pass[0]] = true
	return []Send{{Step: StepTell, Address: send.Pass[0], Pass: send.Pass[1:]}}
}

// Told gives the process that a send goes to.
func (j *Job) Told(send Send) messages.Entry { return j.entries[send.Address] }

// Unconfirmed gives the processes whose taking of a configuration this job does not hear
// of: those of the owner's zone to which others pass it on, and those of other zones.
func (j *Job) Unconfirmed(sends []Send) []messages.Entry {
	told := map[string]bool{}
	for _, send := range sends {
		told[send.Address] = send.Step == StepTell
	}
	var found []messages.Entry
	for _, zone := range j.zones() {
		for _, entry := range j.branches[zone].processes {
			if !told[entry.Address] {
				found = append(found, entry)
			}
		}
	}
	return found
}

// Tick goes on without controllers that take too long.
func (j *Job) Tick(now clock.Moment) []Send {
	var sends []Send
	for _, zone := range j.zones() {
		one := j.branches[zone]
		if !one.settled && now.Since(one.asked) >= constants.RelayPatience {
			sends = append(sends, j.next(one, zone, now)...)
		}
	}
	return sends
}

// Done tells whether everybody who was heard lately took the update or failed to.
func (j *Job) Done() bool {
	for _, one := range j.branches {
		if !one.settled {
			return false
		}
	}
	return len(j.open) == 0
}

// Missing gives the marks of those in touch that have not taken the update.
func (j *Job) Missing() []uint32 {
	var marks []uint32
	for mark := range j.missing {
		marks = append(marks, mark)
	}
	for address := range j.open {
		if mark := j.marks[address]; !j.missing[mark] {
			marks = append(marks, mark)
		}
	}
	sort.Slice(marks, func(left, right int) bool { return marks[left] < marks[right] })
	return marks
}
