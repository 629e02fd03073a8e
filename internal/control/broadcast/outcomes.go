package broadcast

import (
	"sort"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// HandleResponse notes that a send was answered; missing is what a wait brought.
func (j *Tree) HandleResponse(send Send, missing []uint32, now clock.Instant) []Send {
	switch send.Step {
	case StepDeliver:
		delete(j.pending, send.Address)
	case StepRelay:
		branch := j.branches[send.Zone]
		if branch.complete || branch.relay != send.Address {
			return nil
		}
		// It is alive and at work: it is given the time that its zone may take.
		branch.requestedAt = now.Add(constants.ZoneBroadcastTimeout)
		return []Send{{Step: StepWait, Address: send.Address, Zone: send.Zone}}
	case StepWait:
		branch := j.branches[send.Zone]
		if branch.complete {
			return nil
		}
		branch.complete = true
		left := map[uint32]bool{}
		for _, hash := range missing {
			left[hash] = true
		}
		// Whom the relay could not reach may be in reach from here.
		var again []messages.NodeInfo
		for _, entry := range branch.processes {
			if left[membership.Hash(entry)] {
				again = append(again, entry)
			}
		}
		return j.deliver(again)
	}
	return nil
}

// HandleFailure notes that a send was not answered or not taken.
func (j *Tree) HandleFailure(send Send, now clock.Instant) []Send {
	if send.Step != StepDeliver {
		branch := j.branches[send.Zone]
		if branch.relay != send.Address {
			return nil
		}
		return j.next(branch, send.Zone, now)
	}
	if hash, known := j.hashes[send.Address]; known && j.pending[send.Address] {
		j.missing[hash] = true
	}
	delete(j.pending, send.Address)
	if len(send.ForwardTo) == 0 {
		return nil
	}
	// The next of its part takes its place.
	j.pending[send.ForwardTo[0]] = true
	return []Send{{Step: StepDeliver, Address: send.ForwardTo[0], ForwardTo: send.ForwardTo[1:]}}
}

// Receiver gives the process that a send goes to.
func (j *Tree) Receiver(send Send) messages.NodeInfo { return j.entries[send.Address] }

// Unconfirmed gives the processes whose confirmation of a configuration this tree does not get
// itself: those of the owner's zone to which others pass it on, and those of other zones.
func (j *Tree) Unconfirmed(sends []Send) []messages.NodeInfo {
	notified := map[string]bool{}
	for _, send := range sends {
		notified[send.Address] = send.Step == StepDeliver
	}
	var found []messages.NodeInfo
	for _, zone := range j.zones() {
		for _, entry := range j.branches[zone].processes {
			if !notified[entry.Address] {
				found = append(found, entry)
			}
		}
	}
	return found
}

// Tick goes on without controllers that take too long.
func (j *Tree) Tick(now clock.Instant) []Send {
	var sends []Send
	for _, zone := range j.zones() {
		branch := j.branches[zone]
		if !branch.complete && now.Sub(branch.requestedAt) >= constants.RelayTimeout {
			sends = append(sends, j.next(branch, zone, now)...)
		}
	}
	return sends
}

// Done tells whether everybody who was in contact lately took the update or failed to.
func (j *Tree) Done() bool {
	for _, branch := range j.branches {
		if !branch.complete {
			return false
		}
	}
	return len(j.pending) == 0
}

// Missing gives the hashes of those in contact that have not confirmed the update.
func (j *Tree) Missing() []uint32 {
	var hashes []uint32
	for hash := range j.missing {
		hashes = append(hashes, hash)
	}
	for address := range j.pending {
		if hash := j.hashes[address]; !j.missing[hash] {
			hashes = append(hashes, hash)
		}
	}
	sort.Slice(hashes, func(left, right int) bool { return hashes[left] < hashes[right] })
	return hashes
}
