package replication

import "lemonarch/internal/platform/messages"

// LogExtent is how far a copy reaches and which epochs wrote its records, in order. Up to
// Base it is compacted, and all counts as one stretch of the epoch of the record there.
type LogExtent struct {
	Last, Base  int64
	EpochRanges []messages.EpochRange
}

// complete tells whether the copy has all up to its base.
func (e LogExtent) complete() bool { return e.Last >= e.Base }

// epochAt gives the epoch of a record, zero where there is none.
func (e LogExtent) epochAt(index int64) uint64 {
	epoch := uint64(0)
	if index > e.Last {
		return epoch
	}
	for _, epochRange := range e.EpochRanges {
		if epochRange.First > index {
			break
		}
		epoch = epochRange.Epoch
	}
	return epoch
}

// CommonIndex gives the last index up to which two copies are the same. Records of one
// epoch come from one leader in one order, so equal epochs at an index mean equal
// records up to it. A compacted copy has nothing in common with one that ends before
// its base: what it dropped can't be sent any more, so that one is copied anew.
func CommonIndex(left, right LogExtent) int64 {
	if !left.complete() || !right.complete() {
		if left.Base != right.Base || left.epochAt(1) != right.epochAt(1) {
			return 0
		}
		// Two parts of one compacted copy.
		return min(left.Last, right.Last)
	}
	base := max(left.Base, right.Base)
	if base > 0 && (min(left.Last, right.Last) < base || left.epochAt(base) != right.epochAt(base)) {
		return 0
	}
	return max(base, commonRanges(left.after(base), right.after(base)))
}

// after gives the part of an extent that follows an index.
func (e LogExtent) after(base int64) LogExtent {
	part := LogExtent{Last: e.Last}
	for i, epochRange := range e.EpochRanges {
		if i+1 < len(e.EpochRanges) && e.EpochRanges[i+1].First <= base+1 {
			continue
		}
		part.EpochRanges = append(part.EpochRanges, messages.EpochRange{Epoch: epochRange.Epoch, First: max(epochRange.First, base+1)})
	}
	return part
}

// commonRanges is CommonIndex for two copies that were not compacted.
func commonRanges(left, right LogExtent) int64 {
	common := int64(0)
	for i := 0; i < len(left.EpochRanges) && i < len(right.EpochRanges); i++ {
		if left.EpochRanges[i] != right.EpochRanges[i] {
			break
		}
		leftEnd, rightEnd := left.Last, right.Last
		if i+1 < len(left.EpochRanges) {
			leftEnd = left.EpochRanges[i+1].First - 1
		}
		if i+1 < len(right.EpochRanges) {
			rightEnd = right.EpochRanges[i+1].First - 1
		}
		common = min(leftEnd, rightEnd)
		if leftEnd != rightEnd {
			break
		}
	}
	return common
}

// ExtentOfFence is the extent that a store answered with.
func ExtentOfFence(resp *messages.FenceResponse) LogExtent {
	return LogExtent{Last: resp.Last, Base: resp.Base, EpochRanges: resp.EpochRanges}
}

// ExtentOfAppend is the extent that a store gave for records that did not join on.
func ExtentOfAppend(resp *messages.AppendResponse) LogExtent {
	return LogExtent{Last: resp.Last, Base: resp.Base, EpochRanges: resp.EpochRanges}
}
