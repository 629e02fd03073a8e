package replication

import "lemonarch/internal/platform/messages"

// LogExtent describes which records a copy of the log has and which epochs wrote them, in order.
// Up to Base the copy is compacted, and these records count as one range of the epoch of the
// record at Base.
type LogExtent struct {
	Last, Base  int64
	EpochRanges []messages.EpochRange
}

// complete reports whether the copy has all records up to its base.
func (e LogExtent) complete() bool { return e.Last >= e.Base }

// epochAt returns the epoch of the record at an index, or zero if there is none.
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

// CommonIndex returns the last index up to which two copies are equal. Records of one
// epoch come from one leader in one order, so equal epochs at an index imply equal
// records up to it. A compacted copy has no common index with one that ends before
// its base: the dropped records can't be sent any more, so that the other one has to be
// copied from the start.
func CommonIndex(left, right LogExtent) int64 {
	if !left.complete() || !right.complete() {
		if left.Base != right.Base || left.epochAt(1) != right.epochAt(1) {
			return 0
		}
		// Both are parts of the same compacted copy.
		return min(left.Last, right.Last)
	}
	base := max(left.Base, right.Base)
	if base > 0 && (min(left.Last, right.Last) < base || left.epochAt(base) != right.epochAt(base)) {
		return 0
	}
	return max(base, commonRanges(left.after(base), right.after(base)))
}

// after returns the part of an extent after an index.
func (e LogExtent) after(base int64) LogExtent {
	tail := LogExtent{Last: e.Last}
	for i, epochRange := range e.EpochRanges {
		if i+1 < len(e.EpochRanges) && e.EpochRanges[i+1].First <= base+1 {
			continue
		}
		tail.EpochRanges = append(tail.EpochRanges, messages.EpochRange{Epoch: epochRange.Epoch, First: max(epochRange.First, base+1)})
	}
	return tail
}

// commonRanges returns the common index of two copies that are not compacted.
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

// ExtentOfFence returns the extent in a store's response to a fence request.
func ExtentOfFence(resp *messages.FenceResponse) LogExtent {
	return LogExtent{Last: resp.Last, Base: resp.Base, EpochRanges: resp.EpochRanges}
}

// ExtentOfAppend returns the extent in a store's response to an append request whose records did not
// continue its replica.
func ExtentOfAppend(resp *messages.AppendResponse) LogExtent {
	return LogExtent{Last: resp.Last, Base: resp.Base, EpochRanges: resp.EpochRanges}
}
