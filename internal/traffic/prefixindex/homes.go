package prefixindex

import (
	"encoding/binary"
	"sort"
)

// Shared is how many tokens of the prompt others have too: the last part is its own.
func (p *Prompt) Shared() int {
	shared := 0
	for place := 0; place < len(p.Parts)-1; place++ {
		shared += p.Parts[place].Tokens
	}
	return shared
}

// Mix spreads a hash of names that differ in their last bytes only over all its bits.
func Mix(sum uint64) uint64 {
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}

// homeDraw is a worker's draw for a prefix; the highest is its first home.
func homeDraw(worker string, prefix uint64) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	sum := uint64(offset)
	for place := 0; place < len(worker); place++ {
		sum = (sum ^ uint64(worker[place])) * prime
	}
	var name [8]byte
	binary.BigEndian.PutUint64(name[:], prefix)
	for _, one := range name {
		sum = (sum ^ uint64(one)) * prime
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
	var draws []uint64
	for _, worker := range workerList {
		draw := homeDraw(worker, prefix)
		place := sort.Search(len(draws), func(place int) bool { return draws[place] < draw })
		if place >= limit {
			continue
		}
		best, draws = append(best, ""), append(draws, 0)
		copy(best[place+1:], best[place:])
		copy(draws[place+1:], draws[place:])
		best[place], draws[place] = worker, draw
		if len(best) > limit {
			best, draws = best[:limit], draws[:limit]
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
	var found []holder
	if len(prompt.Parts) < 2 {
		return nil
	}
	key := prompt.key()
	i.tree.Walk(key[:len(key)-8], func(_ int, leaf *Leaf) {
		for worker, one := range leaf.stays {
			found = append(found, holder{worker, int64(one.at)})
		}
		for worker, one := range leaf.told {
			found = append(found, holder{worker, int64(one.seen)})
		}
	})
	sort.Slice(found, func(left, right int) bool {
		if found[left].seen != found[right].seen {
			return found[left].seen > found[right].seen
		}
		return found[left].worker < found[right].worker
	})
	var workerList []string
	known := map[string]bool{}
	for _, one := range found {
		if len(workerList) < limit && !known[one.worker] {
			known[one.worker] = true
			workerList = append(workerList, one.worker)
		}
	}
	return workerList
}
