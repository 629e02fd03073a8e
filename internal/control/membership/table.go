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
func MarkOf(entry messages.Entry) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(Key(entry) + "/" + strconv.FormatInt(entry.Life, 36) + "/" + strconv.FormatBool(entry.Leaving)))
	return sum.Sum32()
}

func sumOf(entry messages.Entry) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(Key(entry) + "/" + strconv.FormatInt(entry.Life, 36) + "/" + strconv.FormatBool(entry.Leaving)))
	return sum.Sum64()
}

// put keeps a changed entry. The table's sum moves with it.
func (v *View) put(known *seen, entry messages.Entry) {
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
	return messages.Digest{Life: v.own.Life, Clock: v.clockValue, Sum: v.sum ^ sumOf(v.own), Count: len(v.entries) + 1}
}

// Since gives the owner and the entries changed after a clock.
func (v *View) Since(clockValue uint64, now clock.Moment) []messages.Entry {
	found := []messages.Entry{v.own}
	for _, key := range v.keys() {
		if known := v.entries[key]; known.change > clockValue {
			found = append(found, v.aged(known, now))
		}
	}
	return found
}

// MetSince gives the marks of the processes that reported to this one after a moment, and
// which of them do not follow the owner's configuration.
func (v *View) MetSince(moment clock.Moment) (met, behind []uint32) {
	for _, known := range v.entries {
		if known.direct <= moment {
			continue
		}
		met = append(met, known.mark)
		if known.entry.Generation < v.own.Generation {
			behind = append(behind, known.mark)
		}
	}
	for _, marks := range [][]uint32{met, behind} {
		sort.Slice(marks, func(left, right int) bool { return marks[left] < marks[right] })
	}
	return met, behind
}

// Vouched takes another controller's list of who has reported to it.
func (v *View) Vouched(beat *messages.ControllerBeat, now clock.Moment) {
	behind := map[uint32]bool{}
	for _, mark := range beat.Behind {
		behind[mark] = true
	}
	for _, mark := range beat.Met {
		known := v.entries[v.marks[mark]]
		if known == nil {
			continue
		}
		known.heard = max(known.heard, now)
		if !behind[mark] {
			known.entry.Generation = max(known.entry.Generation, beat.Follow)
		}
	}
}

// Follows notes that a process has taken a configuration.
func (v *View) Follows(key string, life, generation int64) {
	if known := v.entries[key]; known != nil && known.entry.Life == life {
		known.entry.Generation = max(known.entry.Generation, generation)
	}
}
