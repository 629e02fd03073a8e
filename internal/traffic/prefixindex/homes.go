package prefixindex

import (
	"encoding/binary"
	"sort"
)

// Shared is how many tokens of the prompt others have too: the last part is its own.
func (p *Prompt) Shared() int {
	shared := 0
	for i := 0; i < len(p.Parts)-1; i++ {
		shared += p.Parts[i].Tokens
	}
	return shared
}

// MixBits spreads a hash of names that differ in their last bytes only over all its bits.
func MixBits(sum uint64) uint64 {
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}

// homeWeight is a worker's weight for a prefix; the highest is its first home.
func homeWeight(worker string, prefix uint64) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	sum := uint64(offset)
	for i := 0; i < len(worker); i++ {
		sum = (sum ^ uint64(worker[i])) * prime
	}
	var name [8]byte
	binary.BigEndian.PutUint64(name[:], prefix)
	for _, entry := range name {
		sum = (sum ^ uint64(entry)) * prime
	}
	return sum
}

// Homes gives the first homes of the prompt's prefix among workers: all nodes that
// know the same workers come to the same ones.
func (i *Index) Homes(prompt *Prompt, workerList []string, limit int) []string {
	if len(prompt.Parts) < 2 {
		return nil
	}
	prefix := prompt.Parts[len(prompt.Parts)-2].Name
	var best []string
	var weights []uint64
	for _, worker := range workerList {
		weight := homeWeight(worker, prefix)
		position := sort.Search(len(weights), func(position int) bool { return weights[position] < weight })
		if position >= limit {
			continue
		}
		best, weights = append(best, ""), append(weights, 0)
		copy(best[position+1:], best[position:])
		copy(weights[position+1:], weights[position:])
		best[position], weights[position] = worker, weight
		if len(best) > limit {
			best, weights = best[:limit], weights[:limit]
		}
	}
	return best
}

// Holders gives workers that hold the prompt's prefix by what is known here, the
// latest evidence first.
func (i *Index) Holders(prompt *Prompt, limit int) []string {
	type holder struct {
		worker string
		seen   int64
	}
	var entries []holder
	if len(prompt.Parts) < 2 {
		return nil
	}
	key := prompt.key()
	i.tree.Walk(key[:len(key)-8], func(_ int, leaf *Leaf) {
		for worker, entry := range leaf.own {
			entries = append(entries, holder{worker, int64(entry.at)})
		}
		for worker, entry := range leaf.peers {
			entries = append(entries, holder{worker, int64(entry.evidenceAt)})
		}
	})
	sort.Slice(entries, func(left, right int) bool {
		if entries[left].seen != entries[right].seen {
			return entries[left].seen > entries[right].seen
		}
		return entries[left].worker < entries[right].worker
	})
	var workerList []string
	known := map[string]bool{}
	for _, entry := range entries {
		if len(workerList) < limit && !known[entry.worker] {
			known[entry.worker] = true
			workerList = append(workerList, entry.worker)
		}
	}
	return workerList
}
