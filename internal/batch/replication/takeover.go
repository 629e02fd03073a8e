package replication

import "lemonarch/internal/platform/messages"

// lastEpoch is the epoch of the last record of a copy.
func lastEpoch(epochRanges []messages.EpochRange) uint64 {
	if len(epochRanges) == 0 {
		return 0
	}
	return epochRanges[len(epochRanges)-1].Epoch
}

// EnoughFenced tells whether a new leader has raised its epoch at enough stores: all
// but the fault budget, so that the old leader reaches too few and every record
// that was told is among what was read.
func EnoughFenced(members, granted, budget int) bool {
	return granted >= members-min(budget, members-1)
}

// CopiesNeeded is how many synced copies make a record durable.
func CopiesNeeded(members, budget int) int { return min(budget+1, members) }

// BestCopy picks the copy to go on from: the one whose last record has the highest
// epoch, and among those the longest. One that is not complete is no copy: what it lacks is
// durable, so another one has it.
func BestCopy(copies map[string]messages.FenceResponse) string {
	best := ""
	for identity, response := range copies {
		if !ExtentOfFence(&response).complete() {
			continue
		}
		if best == "" {
			best = identity
			continue
		}
		have := copies[best]
		left, right := lastEpoch(response.EpochRanges), lastEpoch(have.EpochRanges)
		if left > right || (left == right && response.Last > have.Last) ||
			(left == right && response.Last == have.Last && identity < best) {
			best = identity
		}
	}
	return best
}

// RefusedForDisk tells whether a store refused an epoch since the disk that was asked for is
// not there, and not since a later epoch is fenced there.
func RefusedForDisk(epoch uint64, resp *messages.FenceResponse) bool {
	return !resp.Granted && resp.Epoch <= epoch
}
