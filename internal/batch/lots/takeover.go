package lots

import "lemonarch/internal/platform/messages"

// lastEpoch is the epoch of the last record of a copy.
func lastEpoch(stretches []messages.EpochRange) uint64 {
	if len(stretches) == 0 {
		return 0
	}
	return stretches[len(stretches)-1].Epoch
}

// Enough tells whether a new holder has raised its epoch at enough stores: all
// but the fault budget, so that the old holder reaches too few and every record
// that was told is among what was read.
func Enough(members, granted, budget int) bool { return granted >= members-min(budget, members-1) }

// CopiesNeeded is how many synced copies make a record durable.
func CopiesNeeded(members, budget int) int { return min(budget+1, members) }

// Best picks the copy to go on from: the one whose last record has the highest
// epoch, and among those the longest. One that is not whole is no copy: what it lacks is
// durable, so another one has it.
func Best(copies map[string]messages.FenceResponse) string {
	best := ""
	for identity, response := range copies {
		if !ExtentOf(&response).whole() {
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
