package membership

import (
	"hash/fnv"
	"sort"
	"strconv"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// Hash returns the short hash that identifies one incarnation of a process in messages. A draining
// process has a different hash, so that processes that know it as active receive the new entry.
func Hash(entry messages.NodeInfo) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(Key(entry) + "/" + strconv.FormatInt(entry.Incarnation, 36) + "/" + strconv.FormatBool(entry.Draining)))
	return sum.Sum32()
}

// checksum returns the contribution of one entry to View.sum.
func checksum(entry messages.NodeInfo) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(Key(entry) + "/" + strconv.FormatInt(entry.Incarnation, 36) + "/" + strconv.FormatBool(entry.Draining)))
	return sum.Sum64()
}

// setEntry stores a new or changed entry and updates the checksum, the version and the hash index.
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

// drop removes a peer and all that is stored for it.
func (v *View) drop(key string) {
	known := v.peers[key]
	v.sum ^= checksum(known.info)
	delete(v.keyByHash, known.hash)
	delete(v.recommendations, key)
	delete(v.failedAt, known.info.Address)
	delete(v.peers, key)
	v.sortedKeys = nil
}

// Digest returns a digest of the view including the owner. Its sum is equal at two controllers that
// know the same processes.
func (v *View) Digest() messages.Digest {
	return messages.Digest{Incarnation: v.self.Incarnation, Clock: v.version, Sum: v.sum ^ checksum(v.self), Count: len(v.peers) + 1}
}

// Since returns the owner and the entries that changed after a version of the view.
func (v *View) Since(version uint64, now clock.Instant) []messages.NodeInfo {
	found := []messages.NodeInfo{v.self}
	for _, key := range v.keys() {
		if known := v.peers[key]; known.changeVersion > version {
			found = append(found, v.withAge(known, now))
		}
	}
	return found
}

// ContactedSince returns the hashes of the processes that sent a message to this one after an instant,
// and the hashes of those among them that follow an older configuration than the owner.
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

// HandleHeartbeat merges another controller's list of the processes that have reported to it.
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

// SetPeerGeneration records that an incarnation of a process has applied a configuration.
func (v *View) SetPeerGeneration(key string, incarnation, generation int64) {
	if known := v.peers[key]; known != nil && known.info.Incarnation == incarnation {
		known.info.Generation = max(known.info.Generation, generation)
	}
}
