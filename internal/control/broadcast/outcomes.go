package broadcast

import (
	"sort"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// HandleResponse handles the response to a send and returns the sends that follow. missing lists the
// hashes in the response to a StepWait.
func (j *Tree) HandleResponse(send Send, missing []uint32, now clock.Instant) []Send {
	switch send.Step {
	case StepDeliver:
		delete(j.pending, send.Address)
	case StepRelay:
		branch := j.branches[send.Zone]
		if branch.complete || branch.relay != send.Address {
			return nil
		}
		// The relay is alive and distributing, so the timeout is extended by the time that its zone
		// may take.
		branch.requestedAt = now.Add(constants.ZoneBroadcastTimeout)
		return []Send{{Step: StepWait, Address: send.Address, Zone: send.Zone}}
	case StepWait:
		branch := j.branches[send.Zone]
		if branch.complete {
			return nil
		}
		branch.complete = true
		unreached := map[uint32]bool{}
		for _, hash := range missing {
			unreached[hash] = true
		}
		// Processes that the relay could not reach may be reachable from here.
		var retries []messages.NodeInfo
		for _, entry := range branch.processes {
			if unreached[membership.Hash(entry)] {
				retries = append(retries, entry)
			}
		}
		return j.deliver(retries)
	}
	return nil
}

// HandleFailure handles a send that timed out or was rejected and returns the sends that follow.
func (j *Tree) HandleFailure(send Send, now clock.Instant) []Send {
	if send.Step != StepDeliver {
		branch := j.branches[send.Zone]
		if branch.relay != send.Address {
			return nil
		}
		return j.nextRelay(branch, send.Zone, now)
	}
	if hash, known := j.hashes[send.Address]; known && j.pending[send.Address] {
		j.missing[hash] = true
	}
	delete(j.pending, send.Address)
	if len(send.ForwardTo) == 0 {
		return nil
	}
	// The next address of the share replaces the receiver that failed.
	j.pending[send.ForwardTo[0]] = true
	return []Send{{Step: StepDeliver, Address: send.ForwardTo[0], ForwardTo: send.ForwardTo[1:]}}
}

// Receiver returns the process to which a send is addressed.
func (j *Tree) Receiver(send Send) messages.NodeInfo { return j.nodes[send.Address] }

// Unconfirmed returns the processes whose confirmation of a configuration does not arrive at this
// tree: those of the own zone that receive it by forwarding, and those of other zones. sends are
// those that NewTree returned; their direct receivers are left out.
func (j *Tree) Unconfirmed(sends []Send) []messages.NodeInfo {
	direct := map[string]bool{}
	for _, send := range sends {
		direct[send.Address] = send.Step == StepDeliver
	}
	var unconfirmed []messages.NodeInfo
	for _, zone := range j.zones() {
		for _, entry := range j.branches[zone].processes {
			if !direct[entry.Address] {
				unconfirmed = append(unconfirmed, entry)
			}
		}
	}
	return unconfirmed
}

// Tick replaces relay controllers that have not responded within constants.RelayTimeout and returns
// the sends that follow.
func (j *Tree) Tick(now clock.Instant) []Send {
	var sends []Send
	for _, zone := range j.zones() {
		branch := j.branches[zone]
		if !branch.complete && now.Sub(branch.requestedAt) >= constants.RelayTimeout {
			sends = append(sends, j.nextRelay(branch, zone, now)...)
		}
	}
	return sends
}

// Done reports whether every process that was recently in contact has accepted the update or failed.
func (j *Tree) Done() bool {
	for _, branch := range j.branches {
		if !branch.complete {
			return false
		}
	}
	return len(j.pending) == 0
}

// Missing returns the sorted hashes of the processes in contact that have not confirmed the update.
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
