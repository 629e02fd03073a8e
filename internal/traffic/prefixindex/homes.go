package prefixindex

import (
	"encoding/binary"
	"sort"
)

// SharedTokens returns the number of tokens of the prompt that other prompts may share: all parts
// except the last one, which belongs to the request alone.
func (p *Prompt) SharedTokens() int {
	shared := 0
	for i := 0; i < len(p.Parts)-1; i++ {
		shared += p.Parts[i].Tokens
	}
	return shared
}

// MixBits distributes a hash over all its bits. Hashes of names that differ only in their last
// bytes would otherwise have similar values.
func MixBits(sum uint64) uint64 {
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}

// homeWeight returns a worker's weight for a prefix in rendezvous hashing. The worker with the
// highest weight is the first home of the prefix.
func homeWeight(worker string, prefix uint64) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	sum := uint64(offset)
	for i := 0; i < len(worker); i++ {
		sum = (sum ^ uint64(worker[i])) * prime
	}
	var name [8]byte
	binary.BigEndian.PutUint64(name[:], prefix)
	for _, octet := range name {
		sum = (sum ^ uint64(octet)) * prime
	}
	return sum
}

// Homes returns the homes of the prompt's shared prefix among the workers, the first home first
// and at most limit of them. The result depends only on the names, so all nodes that know the same
// workers select the same homes.
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

// Holders returns at most limit workers for which there is evidence that they have cached a
// shared prefix of the prompt, those with the latest evidence first.
func (i *Index) Holders(prompt *Prompt, limit int) []string {
	type holder struct {
		worker     string
		observedAt int64
	}
	var holders []holder
	if len(prompt.Parts) < 2 {
		return nil
	}
	key := prompt.key()
	i.tree.Walk(key[:len(key)-8], func(_ int, leaf *Leaf) {
		for worker, evidence := range leaf.own {
			holders = append(holders, holder{worker, int64(evidence.placedAt)})
		}
		for worker, evidence := range leaf.peers {
			holders = append(holders, holder{worker, int64(evidence.evidenceAt)})
		}
	})
	sort.Slice(holders, func(left, right int) bool {
		if holders[left].observedAt != holders[right].observedAt {
			return holders[left].observedAt > holders[right].observedAt
		}
		return holders[left].worker < holders[right].worker
	})
	var workerList []string
	listed := map[string]bool{}
	for _, candidate := range holders {
		if len(workerList) < limit && !listed[candidate.worker] {
			listed[candidate.worker] = true
			workerList = append(workerList, candidate.worker)
		}
	}
	return workerList
}
