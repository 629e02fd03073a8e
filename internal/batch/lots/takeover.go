package lots

import "lemonarch/internal/platform/messages"

// Common gives the last index up to which two copies are the same. Records of one
// epoch come from one holder in one order, so equal epochs at an index mean equal
// records up to it.
func Common(left []messages.Stretch, leftLast int64, right []messages.Stretch, rightLast int64) int64 {
	common := int64(0)
	for place := 0; place < len(left) && place < len(right); place++ {
		if left[place] != right[place] {
			break
		}
		leftEnd, rightEnd := leftLast, rightLast
		if place+1 < len(left) {
			leftEnd = left[place+1].First - 1
		}
		if place+1 < len(right) {
			rightEnd = right[place+1].First - 1
		}
		common = min(leftEnd, rightEnd)
		if leftEnd != rightEnd {
			break
		}
	}
	return common
}

// lastEpoch is the epoch of the last record of a copy.
func lastEpoch(stretches []messages.Stretch) uint64 {
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
// epoch, and among those the longest.
func Best(copies map[string]messages.Raised) string {
	best := ""
	for identity, one := range copies {
		if best == "" {
			best = identity
			continue
		}
		have := copies[best]
		left, right := lastEpoch(one.Stretches), lastEpoch(have.Stretches)
		if left > right || (left == right && one.Last > have.Last) ||
			(left == right && one.Last == have.Last && identity < best) {
			best = identity
		}
	}
	return best
}
