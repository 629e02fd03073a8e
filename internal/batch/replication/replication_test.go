package replication

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

// member returns a member whose name, address and disk are the same.
func member(name string) messages.Member {
	return messages.Member{Name: name, Address: name, Disk: name}
}

// epochRanges returns the epoch ranges of a replica whose records have the given epochs.
func epochRanges(epochs []uint64) []messages.EpochRange {
	replica := NewReplica("d")
	for i, epoch := range epochs {
		replica.Add(&messages.Record{Index: int64(i + 1), Epoch: epoch}, 0)
	}
	return replica.Extent().EpochRanges
}

// compactedAt returns an extent after compaction up to an index.
func compactedAt(extent LogExtent, index int64) LogExtent {
	if index == 0 {
		return extent
	}
	compacted := LogExtent{Last: extent.Last, Base: index, EpochRanges: []messages.EpochRange{{Epoch: extent.epochAt(index), First: 1}}}
	for _, epochRange := range extent.EpochRanges {
		if epochRange.First > index {
			compacted.EpochRanges = append(compacted.EpochRanges, epochRange)
		}
	}
	return compacted
}

// CommonIndex is exactly the length of the shared beginning of two copies, since each epoch has only one
// leader. If it were larger, a store would keep records that differ from the leader's.
func TestCommonIndex(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(3))
	properties.Property("common", prop.ForAll(func(shared, left, right []bool) bool {
		epoch := uint64(1)
		// grow adds a record for each element of newEpochs, which reports whether the epoch rises by step.
		grow := func(newEpochs []bool, from []uint64, step uint64) []uint64 {
			epochs, current := append([]uint64(nil), from...), epoch
			for _, rises := range newEpochs {
				if rises {
					current += step
				}
				epochs = append(epochs, current)
			}
			return epochs
		}
		base := grow(shared, nil, 1)
		if len(base) > 0 {
			epoch = base[len(base)-1]
		}
		// After the shared beginning, the two copies never have records of the same epoch.
		epoch += 2
		first := grow(left, base, 2)
		epoch++
		second := grow(right, base, 2)
		extent, other := LogExtent{Last: int64(len(first)), EpochRanges: epochRanges(first)}, LogExtent{Last: int64(len(second)), EpochRanges: epochRanges(second)}
		common := int64(len(base))
		// Compaction within the shared beginning, of one copy or both, does not change the result.
		for higherBase := int64(0); higherBase <= common; higherBase++ {
			for lowerBase := int64(0); lowerBase <= higherBase; lowerBase++ {
				if CommonIndex(compactedAt(extent, higherBase), compactedAt(other, lowerBase)) != common || CommonIndex(compactedAt(other, higherBase), compactedAt(extent, lowerBase)) != common {
					return false
				}
			}
		}
		// A copy that ends before the other's base has no common index with it.
		short := LogExtent{Last: common - 1, EpochRanges: epochRanges(base[:max(common-1, 0)])}
		return common < 2 || CommonIndex(compactedAt(extent, common), short) == 0
	}, gen.SliceOf(gen.Bool()), gen.SliceOf(gen.Bool()), gen.SliceOf(gen.Bool())))
	properties.TestingRun(t)
}

// A record that is reported as durable with too few copies, in either set during a change of the store
// set, or because of the copies of an earlier epoch's record, can be lost in the next takeover.
func TestCommitNeedsCopiesAndOwnEpoch(t *testing.T) {
	replicator := NewReplicator(4, []messages.Member{member("a"), member("b"), member("c")}, 1, 11)
	replicator.NextIndex()
	identity := func(name string) string { return register.Identity(member(name)) }
	// The number of copies does not make records of earlier epochs durable.
	if replicator.UpdateMatch(identity("a"), 10) || replicator.UpdateMatch(identity("b"), 10) {
		t.Fatal("record of an earlier epoch was committed by its copies")
	}
	if replicator.UpdateMatch(identity("a"), 11) {
		t.Fatal("record with one copy is durable, want two copies needed")
	}
	if !replicator.UpdateMatch(identity("c"), 11) || replicator.CommitIndex() != 11 {
		t.Fatal("record with two copies is not durable, or the commit index is not 11")
	}
	// While the store set changes, a record needs enough copies in both sets.
	replicator.Next = []messages.Member{member("a"), member("c"), member("d")}
	replicator.NextIndex()
	replicator.UpdateMatch(identity("a"), 12)
	if replicator.UpdateMatch(identity("b"), 12) {
		t.Fatal("record without enough copies in the next set is durable")
	}
	if !replicator.UpdateMatch(identity("d"), 12) {
		t.Fatal("record with enough copies in both sets is not durable")
	}
}

// A store that came back with another disk does not have the member's records, and a fenced leader must
// not add records that the next leader has not read.
func TestOtherDisksAndFencedLeadersAreRejected(t *testing.T) {
	replica := NewReplica("disk")
	if resp, _ := replica.Fence(&messages.FenceRequest{Epoch: 5, Disk: "other"}); resp.Granted {
		t.Fatal("fence request for another disk was granted")
	}
	if resp, persist := replica.Fence(&messages.FenceRequest{Epoch: 5, Disk: "disk"}); !resp.Granted || !persist {
		t.Fatal("want the fence granted and persisted")
	}
	replica.SetFencedEpoch(5)
	if _, resp := replica.Append(&messages.AppendRequest{Epoch: 4, Disk: "disk", Records: []messages.Record{{Index: 1, Epoch: 4}}}); resp.Granted {
		t.Fatal("append request of a fenced leader was granted")
	}
}

func TestEnoughFenced(t *testing.T) {
	if EnoughFenced(3, 1, 1) || !EnoughFenced(3, 2, 1) || EnoughFenced(4, 2, 1) || !EnoughFenced(4, 3, 1) || !EnoughFenced(1, 1, 1) || EnoughFenced(2, 0, 1) {
		t.Fatal("EnoughFenced does not require all members but the fault budget, and at least one")
	}
}

// A short copy of a later epoch is preferred to a long one of an earlier epoch: the additional
// records of the long one were never durable.
func TestBestCopy(t *testing.T) {
	copies := map[string]messages.FenceResponse{
		"long":  {Last: 9, EpochRanges: []messages.EpochRange{{Epoch: 3, First: 1}}},
		"late":  {Last: 6, EpochRanges: []messages.EpochRange{{Epoch: 3, First: 1}, {Epoch: 5, First: 6}}},
		"empty": {},
	}
	if got := BestCopy(copies); got != "late" {
		t.Fatalf("best copy is %q, want %q", got, "late")
	}
	copies["longer"] = messages.FenceResponse{Last: 7, EpochRanges: []messages.EpochRange{{Epoch: 3, First: 1}, {Epoch: 5, First: 6}}}
	if got := BestCopy(copies); got != "longer" {
		t.Fatalf("best copy is %q, want %q", got, "longer")
	}
}
