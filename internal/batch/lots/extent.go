package lots

import "lemonarch/internal/platform/messages"

// Extent is how far a copy reaches and which epochs wrote its records, in order. Up to
// Base it is compacted, and all counts as one stretch of the epoch of the record there.
type Extent struct {
	Last, Base int64
	Stretches  []messages.EpochRange
}

// whole tells whether the copy has all up to its base.
func (e Extent) whole() bool { return e.Last >= e.Base }

// epochAt gives the epoch of a record, zero where there is none.
func (e Extent) epochAt(index int64) uint64 {
	epoch := uint64(0)
	if index > e.Last {
		return epoch
	}
	for _, stretch := range e.Stretches {
		if stretch.First > index {
			break
		}
		epoch = stretch.Epoch
	}
	return epoch
}

// Common gives the last index up to which two copies are the same. Records of one
// epoch come from one holder in one order, so equal epochs at an index mean equal
// records up to it. A compacted copy has nothing in common with one that ends before
// its base: what it dropped can't be sent any more, so that one is copied anew.
func Common(left, right Extent) int64 {
	if !left.whole() || !right.whole() {
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
	return max(base, commonStretches(left.after(base), right.after(base)))
}

// after gives the part of an extent that follows an index.
func (e Extent) after(base int64) Extent {
	part := Extent{Last: e.Last}
	for i, stretch := range e.Stretches {
		if i+1 < len(e.Stretches) && e.Stretches[i+1].First <= base+1 {
			continue
		}
		part.Stretches = append(part.Stretches, messages.EpochRange{Epoch: stretch.Epoch, First: max(stretch.First, base+1)})
	}
	return part
}

// commonStretches is Common for two copies that were not compacted.
func commonStretches(left, right Extent) int64 {
	common := int64(0)
	for i := 0; i < len(left.Stretches) && i < len(right.Stretches); i++ {
		if left.Stretches[i] != right.Stretches[i] {
			break
		}
		leftEnd, rightEnd := left.Last, right.Last
		if i+1 < len(left.Stretches) {
			leftEnd = left.Stretches[i+1].First - 1
		}
		if i+1 < len(right.Stretches) {
			rightEnd = right.Stretches[i+1].First - 1
		}
		common = min(leftEnd, rightEnd)
		if leftEnd != rightEnd {
			break
		}
	}
	return common
}

// ExtentOf is the extent that a store answered with.
func ExtentOf(resp *messages.FenceResponse) Extent {
	return Extent{Last: resp.Last, Base: resp.Base, Stretches: resp.EpochRanges}
}

// ExtentBehind is the extent that a store gave for records that did not join on.
func ExtentBehind(resp *messages.AppendResponse) Extent {
	return Extent{Last: resp.Last, Base: resp.Base, Stretches: resp.EpochRanges}
}
