package membership

import (
	"hash/fnv"
	"sort"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// Hash is the short hash by which one incarnation of a process is named between processes.
// One that drains gets another hash, so that whoever knows it as active is told.
func Hash(entry messages.NodeInfo) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(Key(entry) + "/" + strconv.FormatInt(entry.Incarnation, 36) + "/" + strconv.FormatBool(entry.Draining)))
	return sum.Sum32()
}

func checksum(entry messages.NodeInfo) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(Key(entry) + "/" + strconv.FormatInt(entry.Incarnation, 36) + "/" + strconv.FormatBool(entry.Draining)))
	return sum.Sum64()
}

// put keeps a changed entry. The table's sum moves with it.
func (v *View) setEntry(known *peer, entry messages.NodeInfo) {
	if known.changeVersion > 0 {
		v.sum ^= checksum(known.info)
		delete(v.keyByHash, known.hash)
	}
	v.version++
	known.info, known.changeVersion, known.hash = entry, v.version, Hash(entry)
	v.sum ^= checksum(entry)
	v.keyByHash[known.hash] = Key(entry)
}

func (v *View) drop(key string) {
	known := v.peers[key]
	v.sum ^= checksum(known.info)
	delete(v.keyByHash, known.hash)
	delete(v.recommendations, key)
	delete(v.failedAt, known.info.Address)
	delete(v.peers, key)
	v.sortedKeys = nil
}

// Digest stands for the entries and the owner: its sum is alike at two controllers that
// know the same processes.
func (v *View) Digest() messages.Digest {
	return messages.Digest{Incarnation: v.self.Incarnation, Clock: v.version, Sum: v.sum ^ checksum(v.self), Count: len(v.peers) + 1}
}

// Since gives the owner and the entries changed after a clock.
func (v *View) Since(version uint64, now clock.Instant) []messages.NodeInfo {
	found := []messages.NodeInfo{v.self}
	for _, key := range v.keys() {
		if known := v.peers[key]; known.changeVersion > version {
			found = append(found, v.withAge(known, now))
		}
	}
	return found
}

// ContactedSince gives the hashes of the processes that reported to this one after an instant, and
// which of them do not follow the owner's configuration.
func (v *View) ContactedSince(instant clock.Instant) (contacted, lagging []uint32) {
	for _, known := range v.peers {
		if known.lastDirect <= instant {
			continue
		}
		contacted = append(contacted, known.hash)
		if known.info.Generation < v.self.Generation {
			lagging = append(lagging, known.hash)
		}
	}
	for _, hashes := range [][]uint32{contacted, lagging} {
		sort.Slice(hashes, func(left, right int) bool { return hashes[left] < hashes[right] })
	}
	return contacted, lagging
}

// HandleHeartbeat takes another controller's list of who has reported to it.
func (v *View) HandleHeartbeat(heartbeat *messages.ControllerHeartbeat, now clock.Instant) {
	lagging := map[uint32]bool{}
	for _, hash := range heartbeat.LaggingNodes {
		lagging[hash] = true
	}
	for _, hash := range heartbeat.ContactedNodes {
		known := v.peers[v.keyByHash[hash]]
		if known == nil {
			continue
		}
		known.lastContact = max(known.lastContact, now)
		if !lagging[hash] {
			known.info.Generation = max(known.info.Generation, heartbeat.Generation)
		}
	}
}

// SetPeerGeneration notes that a process has taken a configuration.
func (v *View) SetPeerGeneration(key string, incarnation, generation int64) {
	if known := v.peers[key]; known != nil && known.info.Incarnation == incarnation {
		known.info.Generation = max(known.info.Generation, generation)
	}
}
