package prefixindex

import "sort"

// branch is the fan-out of an inner node, in one of four sizes that adapt to how
// many children there are: 4, 16, 48 or 256.
type branch interface {
	find(edge byte) *node
	// add puts a child in; the returned branch is the receiver or a larger one.
	add(edge byte, child *node) branch
	// remove takes a child out; the returned branch is the receiver or a smaller one.
	remove(edge byte) branch
	count() int
	each(visit func(edge byte, child *node))
}

// sorted serves the two small sizes: keys in order, children beside them.
type sorted struct {
	keys     []byte
	children []*node
	limit    int
}

func newSorted(limit int) *sorted {
	return &sorted{keys: make([]byte, 0, limit), children: make([]*node, 0, limit), limit: limit}
}

func (small *sorted) place(edge byte) int {
	return sort.Search(len(small.keys), func(index int) bool { return small.keys[index] >= edge })
}

func (small *sorted) find(edge byte) *node {
	if index := small.place(edge); index < len(small.keys) && small.keys[index] == edge {
		return small.children[index]
	}
	return nil
}

func (small *sorted) add(edge byte, child *node) branch {
	index := small.place(edge)
	if index < len(small.keys) && small.keys[index] == edge {
		small.children[index] = child
		return small
	}
	if len(small.keys) == small.limit {
		return grow(small).add(edge, child)
	}
	small.keys = append(small.keys, 0)
	copy(small.keys[index+1:], small.keys[index:])
	small.keys[index] = edge
	small.children = append(small.children, nil)
	copy(small.children[index+1:], small.children[index:])
	small.children[index] = child
	return small
}

func (small *sorted) remove(edge byte) branch {
	index := small.place(edge)
	if index < len(small.keys) && small.keys[index] == edge {
		small.keys = append(small.keys[:index], small.keys[index+1:]...)
		small.children = append(small.children[:index], small.children[index+1:]...)
	}
	if small.limit == 16 && len(small.keys) <= 3 {
		return refill(newSorted(4), small)
	}
	return small
}

func (small *sorted) count() int { return len(small.keys) }

func (small *sorted) each(visit func(edge byte, child *node)) {
	for index, edge := range small.keys {
		visit(edge, small.children[index])
	}
}

// branch48 has an index of all edges into 48 places.
type branch48 struct {
	index    [256]byte
	children [48]*node
	used     int
}

func (medium *branch48) find(edge byte) *node {
	if place := medium.index[edge]; place > 0 {
		return medium.children[place-1]
	}
	return nil
}

func (medium *branch48) add(edge byte, child *node) branch {
	if place := medium.index[edge]; place > 0 {
		medium.children[place-1] = child
		return medium
	}
	if medium.used == len(medium.children) {
		return grow(medium).add(edge, child)
	}
	for place := range medium.children {
		if medium.children[place] == nil {
			medium.children[place] = child
			medium.index[edge] = byte(place + 1)
			medium.used++
			break
		}
	}
	return medium
}

func (medium *branch48) remove(edge byte) branch {
	if place := medium.index[edge]; place > 0 {
		medium.children[place-1] = nil
		medium.index[edge] = 0
		medium.used--
	}
	if medium.used <= 12 {
		return refill(newSorted(16), medium)
	}
	return medium
}

func (medium *branch48) count() int { return medium.used }

func (medium *branch48) each(visit func(edge byte, child *node)) {
	for edge, place := range medium.index {
		if place > 0 {
			visit(byte(edge), medium.children[place-1])
		}
	}
}

// branch256 has a place for every edge.
type branch256 struct {
	children [256]*node
	used     int
}

func (large *branch256) find(edge byte) *node { return large.children[edge] }

func (large *branch256) add(edge byte, child *node) branch {
	if large.children[edge] == nil {
		large.used++
	}
	large.children[edge] = child
	return large
}

func (large *branch256) remove(edge byte) branch {
	if large.children[edge] != nil {
		large.children[edge] = nil
		large.used--
	}
	if large.used <= 40 {
		return refill(&branch48{}, large)
	}
	return large
}

func (large *branch256) count() int { return large.used }

func (large *branch256) each(visit func(edge byte, child *node)) {
	for edge, child := range large.children {
		if child != nil {
			visit(byte(edge), child)
		}
	}
}

func grow(full branch) branch {
	switch {
	case full.count() == 4:
		return refill(newSorted(16), full)
	case full.count() == 16:
		return refill(&branch48{}, full)
	}
	return refill(&branch256{}, full)
}

func refill(into, from branch) branch {
	from.each(func(edge byte, child *node) { into = into.add(edge, child) })
	return into
}
