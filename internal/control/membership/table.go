package membership

import (
	"hash/fnv"
	"sort"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// MarkOf is the short hash by which one life of a process is named between processes.
// One that leaves gets another mark, so that whoever knows it as staying is told.
func MarkOf(entry messages.NodeInfo) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(Key(entry) + "/" + strconv.FormatInt(entry.Incarnation, 36) + "/" + strconv.FormatBool(entry.Draining)))
	return sum.Sum32()
}

func sumOf(entry messages.NodeInfo) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(Key(entry) + "/" + strconv.FormatInt(entry.Incarnation, 36) + "/" + strconv.FormatBool(entry.Draining)))
	return sum.Sum64()
}

// put keeps a changed entry. The table's sum moves with it.
func (v *View) put(known *seen, entry messages.NodeInfo) {
	if known.change > 0 {
		v.sum ^= sumOf(known.entry)
		delete(v.marks, known.mark)
	}
	v.clockValue++
	known.entry, known.change, known.mark = entry, v.clockValue, MarkOf(entry)
	v.sum ^= sumOf(entry)
	v.marks[known.mark] = Key(entry)
}

func (v *View) drop(key string) {
	known := v.entries[key]
	v.sum ^= sumOf(known.entry)
	delete(v.marks, known.mark)
	delete(v.drawn, key)
	delete(v.shunned, known.entry.Address)
	delete(v.entries, key)
	v.sorted = nil
}

// Digest stands for the entries and the owner: its sum is alike at two controllers that
// know the same processes.
func (v *View) Digest() messages.Digest {
	return messages.Digest{Incarnation: v.own.Incarnation, Clock: v.clockValue, Sum: v.sum ^ sumOf(v.own), Count: len(v.entries) + 1}
}

// Since gives the owner and the entries changed after a clock.
func (v *View) Since(clockValue uint64, now clock.Instant) []messages.NodeInfo {
	found := []messages.NodeInfo{v.own}
	for _, key := range v.keys() {
		if known := v.entries[key]; known.change > clockValue {
			found = append(found, v.aged(known, now))
		}
	}
	return found
}

// MetSince gives the marks of the processes that reported to this one after a moment, and
// which of them do not follow the owner's configuration.
func (v *View) MetSince(instant clock.Instant) (met, behind []uint32) {
	for _, known := range v.entries {
		if known.direct <= instant {
			continue
		}
		met = append(met, known.mark)
		if known.entry.Generation < v.own.Generation {
			behind = append(behind, known.mark)
		}
	}
	for _, hashes := range [][]uint32{met, behind} {
		sort.Slice(hashes, func(left, right int) bool { return hashes[left] < hashes[right] })
	}
	return met, behind
}

// Vouched takes another controller's list of who has reported to it.
func (v *View) Vouched(heartbeat *messages.ControllerHeartbeat, now clock.Instant) {
	behind := map[uint32]bool{}
	for _, hash := range heartbeat.LaggingNodes {
		behind[hash] = true
	}
	for _, hash := range heartbeat.SeenNodes {
		known := v.entries[v.marks[hash]]
		if known == nil {
			continue
		}
		known.heard = max(known.heard, now)
		if !behind[hash] {
			known.entry.Generation = max(known.entry.Generation, heartbeat.Generation)
		}
	}
}

// Follows notes that a process has taken a configuration.
func (v *View) Follows(key string, incarnation, generation int64) {
	if known := v.entries[key]; known != nil && known.entry.Incarnation == incarnation {
		known.entry.Generation = max(known.entry.Generation, generation)
	}
}
