package replication

import "lemonarch/internal/platform/messages"

// lastEpoch returns the epoch of the last record of a copy, or zero if it is empty.
func lastEpoch(epochRanges []messages.EpochRange) uint64 {
	if len(epochRanges) == 0 {
		return 0
	}
	return epochRanges[len(epochRanges)-1].Epoch
}

// EnoughFenced reports whether enough stores have granted a new leader's fence: all but
// the fault budget. The old leader then can't reach enough stores to commit, and every record
// that was acknowledged is in at least one of the copies that the new leader read.
func EnoughFenced(members, granted, budget int) bool {
	return granted >= members-min(budget, members-1)
}

// CopiesNeeded returns how many synced copies make a record durable: one more than the fault budget,
// or all members if there are fewer.
func CopiesNeeded(members, budget int) int { return min(budget+1, members) }

// BestCopy returns the identity of the store whose copy a new leader continues from: the one whose
// last record has the highest epoch, among those the longest, among those the lowest identity.
// Incomplete copies are ignored: the records that they lack are durable, so another copy has them.
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
		bestResponse := copies[best]
		epoch, bestEpoch := lastEpoch(response.EpochRanges), lastEpoch(bestResponse.EpochRanges)
		if epoch > bestEpoch || (epoch == bestEpoch && response.Last > bestResponse.Last) ||
			(epoch == bestEpoch && response.Last == bestResponse.Last && identity < best) {
			best = identity
		}
	}
	return best
}

// RejectedForDisk reports whether a store rejected an epoch because it does not have the requested
// disk, and not because it has fenced a later epoch.
func RejectedForDisk(epoch uint64, resp *messages.FenceResponse) bool {
	return !resp.Granted && resp.Epoch <= epoch
}
