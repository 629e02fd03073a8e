package lots

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/messages"
)

func member(name string) messages.Member {
	return messages.Member{Name: name, Address: name, Disk: name}
}

func stretches(epochs []uint64) []messages.EpochRange {
	replica := NewReplica("d")
	for i, epoch := range epochs {
		replica.Put(&messages.Record{Index: int64(i + 1), Epoch: epoch}, 0)
	}
	return replica.Extent().Stretches
}

// compactedAt is an extent after a rewrite up to an index.
func compactedAt(extent Extent, index int64) Extent {
	if index == 0 {
		return extent
	}
	compacted := Extent{Last: extent.Last, Base: index, Stretches: []messages.EpochRange{{Epoch: extent.epochAt(index), First: 1}}}
	for _, stretch := range extent.Stretches {
		if stretch.First > index {
			compacted.Stretches = append(compacted.Stretches, stretch)
		}
	}
	return compacted
}

// Common is exactly the length of the shared beginning of two copies that one
// holder each epoch wrote.
func TestCommon(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(3))
	properties.Property("common", prop.ForAll(func(shared, left, right []bool) bool {
		epoch := uint64(1)
		grow := func(steps []bool, from []uint64, step uint64) []uint64 {
			epochs, now := append([]uint64(nil), from...), epoch
			for _, next := range steps {
				if next {
					now += step
				}
				epochs = append(epochs, now)
			}
			return epochs
		}
		base := grow(shared, nil, 1)
		if len(base) > 0 {
			epoch = base[len(base)-1]
		}
		// After the parting the two never write under the same epoch.
		epoch += 2
		first := grow(left, base, 2)
		epoch++
		second := grow(right, base, 2)
		extent, other := Extent{Last: int64(len(first)), Stretches: stretches(first)}, Extent{Last: int64(len(second)), Stretches: stretches(second)}
		common := int64(len(base))
		// Compacted in what they share, on either side or both, they say the same.
		for cut := int64(0); cut <= common; cut++ {
			for deep := int64(0); deep <= cut; deep++ {
				if Common(compactedAt(extent, cut), compactedAt(other, deep)) != common || Common(compactedAt(other, cut), compactedAt(extent, deep)) != common {
					return false
				}
			}
		}
		// One that ends before the other's base has nothing in common with it.
		short := Extent{Last: common - 1, Stretches: stretches(base[:max(common-1, 0)])}
		return common < 2 || Common(compactedAt(extent, common), short) == 0
	}, gen.SliceOf(gen.Bool()), gen.SliceOf(gen.Bool()), gen.SliceOf(gen.Bool())))
	properties.TestingRun(t)
}

func TestDurableNeedsCopiesAndOwnEpoch(t *testing.T) {
	press := NewPress(4, []messages.Member{member("a"), member("b"), member("c")}, 1, 11)
	press.Take()
	identity := func(name string) string { return register.Identity(member(name)) }
	// Copies of earlier records decide nothing by their number.
	if press.Matched(identity("a"), 10) || press.Matched(identity("b"), 10) {
		t.Fatal("an earlier epoch's record was called durable")
	}
	if press.Matched(identity("a"), 11) {
		t.Fatal("durable with one copy")
	}
	if !press.Matched(identity("c"), 11) || press.Done() != 11 {
		t.Fatal("not durable with two copies")
	}
	// While the set changes, both sets have to have it.
	press.Next = []messages.Member{member("a"), member("c"), member("d")}
	press.Take()
	press.Matched(identity("a"), 12)
	if press.Matched(identity("b"), 12) {
		t.Fatal("durable without the next set")
	}
	if !press.Matched(identity("d"), 12) {
		t.Fatal("not durable in both sets")
	}
}

func TestFenceAndIdentity(t *testing.T) {
	replica := NewReplica("disk")
	if resp, _ := replica.Raise(&messages.FenceRequest{Epoch: 5, Disk: "other"}); resp.Granted {
		t.Fatal("another disk's order was taken")
	}
	if resp, keep := replica.Raise(&messages.FenceRequest{Epoch: 5, Disk: "disk"}); !resp.Granted || !keep {
		t.Fatal("not raised")
	}
	replica.SetFence(5)
	if _, resp := replica.Append(&messages.AppendRequest{Epoch: 4, Disk: "disk", Records: []messages.Record{{Index: 1, Epoch: 4}}}); resp.Granted {
		t.Fatal("a fenced holder's order was taken")
	}
}

func TestPositionsNeverChange(t *testing.T) {
	book := NewBook()
	body := &messages.JobBody{Items: []messages.JobItem{{ID: "x", Tokens: 5}, {ID: "y", Tokens: 7}}}
	packed, _ := body.MarshalMsg(nil)
	apply := func(record messages.Record) error { return book.Apply(&record) }
	if apply(messages.Record{Kind: messages.RecordJob, Job: "l", Body: packed}) != nil {
		t.Fatal("lot refused")
	}
	all := func(*Lot) bool { return true }
	if book.Waiting(all) != 12 {
		t.Fatal(book.Waiting(all))
	}
	if apply(messages.Record{Kind: messages.RecordOutput, Job: "l", Item: "y"}) != nil || book.Waiting(all) != 5 {
		t.Fatal("output refused")
	}
	if apply(messages.Record{Kind: messages.RecordOutput, Job: "l", Item: "x", Position: 0}) == nil {
		t.Fatal("a position was given twice")
	}
	if apply(messages.Record{Kind: messages.RecordJobEnd, Job: "l"}) != nil || book.Lot("l").Open() || book.Waiting(all) != 0 {
		t.Fatal("an ended lot is open")
	}
	if got := book.Lot("l").Listings; len(got) != 1 || got[0].Item != "y" {
		t.Fatal(got)
	}
}

func TestEnough(t *testing.T) {
	if Enough(3, 1, 1) || !Enough(3, 2, 1) || Enough(4, 2, 1) || !Enough(4, 3, 1) || !Enough(1, 1, 1) || Enough(2, 0, 1) {
		t.Fatal("wrong read quorum")
	}
}

// A short copy of a later epoch outranks a long one of an earlier epoch: the rest
// of the long one was never durable.
func TestBestCopy(t *testing.T) {
	copies := map[string]messages.FenceResponse{
		"long":  {Last: 9, EpochRanges: []messages.EpochRange{{Epoch: 3, First: 1}}},
		"late":  {Last: 6, EpochRanges: []messages.EpochRange{{Epoch: 3, First: 1}, {Epoch: 5, First: 6}}},
		"empty": {},
	}
	if got := Best(copies); got != "late" {
		t.Fatal(got)
	}
	copies["longer"] = messages.FenceResponse{Last: 7, EpochRanges: []messages.EpochRange{{Epoch: 3, First: 1}, {Epoch: 5, First: 6}}}
	if got := Best(copies); got != "longer" {
		t.Fatal(got)
	}
}
