package prefixindex

import (
	"encoding/binary"
	"fmt"
	"math/rand"
	"strconv"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// prompt returns a prompt with a first part of the given length in tokens, the same for all prompts, and a
// part of its own of 200 tokens.
func prompt(own string, tokens int) *Prompt {
	parsed := ParsePrompt("m", fmt.Sprintf("%d,80", tokens+200), fmt.Sprintf("aa:%d,%s:200", tokens, own))
	return &parsed
}

// twoCandidates returns a first worker with the given wait in ms, and a second one without a wait.
func twoCandidates(waitFirst float64) []Candidate {
	return []Candidate{{Worker: "first", WaitMs: waitFirst}, {Worker: "second"}}
}

// The tree agrees with a map: a walk visits every inserted key that is a prefix of the walked key,
// whatever was removed in between.
func TestTreeAgainstMap(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(42)
	properties := gopter.NewProperties(parameters)
	properties.Property("walk visits exactly the stored prefixes of a key", prop.ForAll(func(numbers []uint16) bool {
		tree, known := Tree{}, map[string]bool{}
		random := rand.New(rand.NewSource(int64(len(numbers))))
		key := func(number uint16) []byte {
			var text []byte
			for part := 0; part <= int(number%3); part++ {
				text = binary.BigEndian.AppendUint64(text, uint64(number>>(4*part))%97)
			}
			return text
		}
		for _, number := range numbers {
			if random.Intn(3) == 0 {
				tree.Remove(key(number))
				delete(known, string(key(number)))
			} else {
				tree.Leaf(key(number))
				known[string(key(number))] = true
			}
		}
		for _, number := range numbers {
			text := key(number)
			want := 0
			for end := 8; end <= len(text); end += 8 {
				if known[string(text[:end])] {
					want++
				}
			}
			got := 0
			tree.Walk(text, func(length int, leaf *Leaf) {
				if known[string(text[:length])] && string(leaf.key) == string(text[:length]) {
					got++
				}
			})
			if got != want {
				return false
			}
		}
		return tree.Size() == len(known)
	}, gen.SliceOf(gen.UInt16())))
	properties.TestingRun(t)
}

// A node's branch expands through all its sizes and shrinks again without losing a child.
func TestBranchesExpandAndShrink(t *testing.T) {
	var tree Tree
	for value := 0; value < 256; value++ {
		tree.Leaf([]byte{1, byte(value)})
	}
	count := 0
	tree.Each(func(*Leaf) { count++ })
	if count != 256 {
		t.Fatalf("visited %d leaves, want 256", count)
	}
	for value := 0; value < 255; value++ {
		tree.Remove([]byte{1, byte(value)})
	}
	visited := 0
	tree.Walk([]byte{1, 255}, func(int, *Leaf) { visited++ })
	if visited != 1 || tree.Size() != 1 {
		t.Fatalf("visited %d of %d leaves, want the one that was not removed", visited, tree.Size())
	}
}

// A residency downgrade changes a placement: the worker that had the prefix cached has since
// replaced its whole cache.
func TestDowngradeChangesPlacement(t *testing.T) {
	index := NewIndex()
	index.SetCache("first", 100_000)
	index.SetCache("second", 100_000)
	placedPrompt := prompt("x1", 12_000)
	index.RecordPlacement(placedPrompt, "first", 0)
	if choice := index.Choose(prompt("x2", 12_000), twoCandidates(20), 1); choice.Index != 0 || choice.Downgraded {
		t.Fatalf("first request: got choice %+v, want the worker with the cached prefix", choice)
	}
	index.AddTurnover("first", 95_000)
	choice := index.Choose(prompt("x3", 12_000), twoCandidates(60), 2)
	if choice.Index != 1 || !choice.Downgraded || index.Downgrades != 1 {
		t.Fatalf("got choice %+v, want a downgrade, since the prefix must have been evicted", choice)
	}
}

// No downgrade happens while the prefix is still cached: discounting too much would lose cache hits.
func TestNoDowngradeWhileResident(t *testing.T) {
	index := NewIndex()
	index.SetCache("first", 100_000)
	index.RecordPlacement(prompt("x1", 12_000), "first", 0)
	index.AddTurnover("first", 30_000)
	choice := index.Choose(prompt("x2", 12_000), twoCandidates(60), 1)
	if choice.Index != 0 || choice.Downgraded || index.Downgrades != 0 {
		t.Fatalf("got choice %+v and %d downgrades, want the worker with the cached prefix and no downgrade", choice, index.Downgrades)
	}
}

// A short cached prefix must not draw a request to a loaded worker: its prefill takes less time than
// the wait.
func TestLoadOutweighsAShortPrefix(t *testing.T) {
	index := NewIndex()
	index.RecordPlacement(prompt("x1", 300), "first", 0)
	if choice := index.Choose(prompt("x2", 300), twoCandidates(40), 1); choice.Index != 1 || choice.Downgraded {
		t.Fatalf("got choice %+v, want the less loaded worker and no downgrade", choice)
	}
}

// A restart loses the cache, so evidence from before it must not draw requests to the worker.
func TestRestartedWorkerHasNoPrefix(t *testing.T) {
	index := NewIndex()
	index.RecordPlacement(prompt("x1", 12_000), "first", 0)
	index.InvalidateCache("first")
	if choice := index.Choose(prompt("x2", 12_000), twoCandidates(60), 1); choice.Index != 1 || choice.CachedTokens != 0 {
		t.Fatalf("got choice %+v, want no cached tokens at a restarted worker", choice)
	}
}

// A peer's report counts like own evidence until it is three gossip periods old. A paused or
// partitioned peer must not cause placements by an outdated report.
func TestPeerEvidenceCountsAndAges(t *testing.T) {
	peer, local := NewIndex(), NewIndex()
	peer.SetCache("first", 100_000)
	peer.RecordPlacement(prompt("x1", 12_000), "first", 0)
	advertised := peer.Advertisements(1, 10, 1000)
	if len(advertised) != 1 {
		t.Fatalf("got %d advertisements, want 1", len(advertised))
	}
	local.MergeAdvertisements(advertised, 1)
	if choice := local.Choose(prompt("x2", 12_000), twoCandidates(60), 2); choice.Index != 0 {
		t.Fatalf("got choice %+v, want the worker of the peer's report", choice)
	}
	stale := clock.Instant(1).Add(constants.GossipStale)
	if choice := local.Choose(prompt("x3", 12_000), twoCandidates(60), stale); choice.Index != 1 {
		t.Fatalf("got choice %+v, want a peer's report ignored after three gossip periods", choice)
	}
}

// A peer's report of an earlier placement must not replace newer evidence of this node.
func TestNewerOwnEvidenceWinsOverPeers(t *testing.T) {
	index := NewIndex()
	index.SetCache("first", 100_000)
	placedPrompt := prompt("x1", 12_000)
	index.RecordPlacement(placedPrompt, "first", 1000)
	index.MergeAdvertisements([]messages.Residency{{Path: placedPrompt.key()[:8], Tokens: 12_000, Worker: "first", Probability: 0, AgeMs: 500}}, 2000)
	if choice := index.Choose(prompt("x2", 12_000), twoCandidates(60), 3000); choice.Index != 0 {
		t.Fatalf("got choice %+v, want the worker of the newer own evidence", choice)
	}
}

// The index stays within its limit however many prompts it records, and keeps the prefixes in use.
func TestIndexIsBounded(t *testing.T) {
	index := NewIndex()
	for count := 0; count < 3*constants.IndexLeavesMax; count++ {
		index.RecordPlacement(prompt(fmt.Sprintf("%x", count), 100), "first", clock.Instant(count))
	}
	if index.tree.Size() > constants.IndexLeavesMax {
		t.Fatalf("index has %d leaves, want at most %d", index.tree.Size(), constants.IndexLeavesMax)
	}
	// The shared prefix is used by every prompt, so it is never removed.
	visited := 0
	index.tree.Walk(prompt("zz", 100).key(), func(int, *Leaf) { visited++ })
	if visited == 0 {
		t.Fatal("the shared prefix was removed")
	}
}

// A first event as late as after a full prefill shows that the prefix had been evicted earlier than
// estimated, so peers must be sent a lower probability.
func TestSlowFirstEventLowersAdvertisedProbability(t *testing.T) {
	index := NewIndex()
	index.SetCache("first", 100_000)
	placedPrompt := prompt("x1", 12_000)
	index.RecordPlacement(placedPrompt, "first", 0)
	next := prompt("x2", 12_000)
	fresh := index.RecordPlacement(next, "first", 1)
	before := index.Advertisements(2, 10, 1000)[0].Probability
	index.RecordFirstEvent(next, "first", fresh, clock.Milliseconds(constants.FirstEventMsGuess+12_200/constants.PrefillRateGuess), true, 2)
	if after := index.Advertisements(3, 10, 1000)[0].Probability; after >= before {
		t.Fatalf("advertised probability: got %v, then %v, want a lower one", before, after)
	}
}

// Only the first parts of a prompt with very many parts are indexed, and the index stays within its
// limit however many leaves one prompt adds.
func TestPromptsOfManyPartsAreBounded(t *testing.T) {
	index := NewIndex()
	for number := range constants.IndexLeavesMax / 8 {
		prompt := ParsePrompt("m", "500,20", strconv.Itoa(number)+":1"+strings.Repeat(",a:1", 4000))
		if len(prompt.Parts) != constants.PromptPartsMax || prompt.Tokens != 500 {
			t.Fatalf("parsed %d parts and %d tokens, want %d and 500", len(prompt.Parts), prompt.Tokens, constants.PromptPartsMax)
		}
		index.RecordPlacement(&prompt, "w", 1)
		if size := index.tree.Size(); size > constants.IndexLeavesMax {
			t.Fatalf("index has %d leaves, want at most %d", size, constants.IndexLeavesMax)
		}
	}
	if few := ParsePrompt("m", "5", " a:1, b:2"); len(few.Parts) != 2 || few.Parts[1].Tokens != 2 {
		t.Errorf("parsed %+v, want two parts, the second of 2 tokens", few)
	}
}
