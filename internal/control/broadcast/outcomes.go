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
func (t *Tree) HandleResponse(send Send, missing []uint32, now clock.Instant) []Send {
	switch send.Step {
	case StepDeliver:
		delete(t.pending, send.Address)
	case StepRelay:
		branch := t.branches[send.Zone]
		if branch.complete || branch.relay != send.Address {
			return nil
		}
		// The relay is alive and distributing, so the timeout is extended by the time that its zone
		// may take.
		branch.requestedAt = now.Add(constants.ZoneBroadcastTimeout)
		return []Send{{Step: StepWait, Address: send.Address, Zone: send.Zone}}
	case StepWait:
		branch := t.branches[send.Zone]
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
		return t.deliver(retries)
	}
	return nil
}

// HandleFailure handles a send that timed out or was rejected and returns the sends that follow.
func (t *Tree) HandleFailure(send Send, now clock.Instant) []Send {
	if send.Step != StepDeliver {
		branch := t.branches[send.Zone]
		if branch.relay != send.Address {
			return nil
		}
		return t.nextRelay(branch, send.Zone, now)
	}
	if hash, known := t.hashes[send.Address]; known && t.pending[send.Address] {
		t.missing[hash] = true
	}
	delete(t.pending, send.Address)
	if len(send.ForwardTo) == 0 {
		return nil
	}
	// The next address of the share replaces the receiver that failed.
	t.pending[send.ForwardTo[0]] = true
	return []Send{{Step: StepDeliver, Address: send.ForwardTo[0], ForwardTo: send.ForwardTo[1:]}}
}

// Receiver returns the process to which a send is addressed, or the zero value if the directory did
// not contain it.
func (t *Tree) Receiver(send Send) messages.NodeInfo { return t.nodes[send.Address] }

// Unconfirmed returns the processes whose confirmation of a configuration does not arrive at this
// tree: those of the own zone that receive it by forwarding, and those of other zones. sends are
// those that NewTree returned; their direct receivers are left out.
func (t *Tree) Unconfirmed(sends []Send) []messages.NodeInfo {
	direct := map[string]bool{}
	for _, send := range sends {
		direct[send.Address] = send.Step == StepDeliver
	}
	var unconfirmed []messages.NodeInfo
	for _, zone := range t.zones() {
		for _, entry := range t.branches[zone].processes {
			if !direct[entry.Address] {
				unconfirmed = append(unconfirmed, entry)
			}
		}
	}
	return unconfirmed
}

// Tick replaces relay controllers that have not responded within constants.RelayTimeout and returns
// the sends that follow.
func (t *Tree) Tick(now clock.Instant) []Send {
	var sends []Send
	for _, zone := range t.zones() {
		branch := t.branches[zone]
		if !branch.complete && now.Sub(branch.requestedAt) >= constants.RelayTimeout {
			sends = append(sends, t.nextRelay(branch, zone, now)...)
		}
	}
	return sends
}

// Done reports whether every process that was recently in contact has accepted the update or failed.
// Processes that receive the update by forwarding are not awaited.
func (t *Tree) Done() bool {
	for _, branch := range t.branches {
		if !branch.complete {
			return false
		}
	}
	return len(t.pending) == 0
}

// Missing returns the sorted hashes of the processes in contact that have not confirmed the update,
// without those that receive it by forwarding.
func (t *Tree) Missing() []uint32 {
	var hashes []uint32
	for hash := range t.missing {
		hashes = append(hashes, hash)
	}
	for address := range t.pending {
		if hash := t.hashes[address]; !t.missing[hash] {
			hashes = append(hashes, hash)
		}
	}
	sort.Slice(hashes, func(left, right int) bool { return hashes[left] < hashes[right] })
	return hashes
}
