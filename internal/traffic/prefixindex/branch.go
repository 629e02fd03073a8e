package prefixindex

import "sort"

// branch stores the children of an inner node, in one of four sizes that adapt to the number
// of children: 4, 16, 48 or 256.
type branch interface {
	find(edge byte) *node
	// add inserts or replaces a child. It returns the receiver, or a larger branch that replaces it.
	add(edge byte, child *node) branch
	// remove removes a child. It returns the receiver, or a smaller branch that replaces it.
	remove(edge byte) branch
	count() int
	each(visit func(edge byte, child *node))
}

// sortedBranch is the branch of the two small sizes: sorted keys, with the children in the same
// order.
type sortedBranch struct {
	keys     []byte
	children []*node
	limit    int
}

func newSortedBranch(limit int) *sortedBranch {
	return &sortedBranch{keys: make([]byte, 0, limit), children: make([]*node, 0, limit), limit: limit}
}

func (s *sortedBranch) search(edge byte) int {
	return sort.Search(len(s.keys), func(index int) bool { return s.keys[index] >= edge })
}

func (s *sortedBranch) find(edge byte) *node {
	if index := s.search(edge); index < len(s.keys) && s.keys[index] == edge {
		return s.children[index]
	}
	return nil
}

func (s *sortedBranch) add(edge byte, child *node) branch {
	index := s.search(edge)
	if index < len(s.keys) && s.keys[index] == edge {
		s.children[index] = child
		return s
	}
	if len(s.keys) == s.limit {
		return expand(s).add(edge, child)
	}
	s.keys = append(s.keys, 0)
	copy(s.keys[index+1:], s.keys[index:])
	s.keys[index] = edge
	s.children = append(s.children, nil)
	copy(s.children[index+1:], s.children[index:])
	s.children[index] = child
	return s
}

func (s *sortedBranch) remove(edge byte) branch {
	index := s.search(edge)
	if index < len(s.keys) && s.keys[index] == edge {
		s.keys = append(s.keys[:index], s.keys[index+1:]...)
		s.children = append(s.children[:index], s.children[index+1:]...)
	}
	if s.limit == 16 && len(s.keys) <= 3 {
		return refill(newSortedBranch(4), s)
	}
	return s
}

func (s *sortedBranch) count() int { return len(s.keys) }

func (s *sortedBranch) each(visit func(edge byte, child *node)) {
	for index, edge := range s.keys {
		visit(edge, s.children[index])
	}
}

// branch48 has up to 48 children. slots maps each edge to the position of its child plus one, and
// is 0 for an edge without a child.
type branch48 struct {
	slots    [256]byte
	children [48]*node
	used     int
}

func (b *branch48) find(edge byte) *node {
	if i := b.slots[edge]; i > 0 {
		return b.children[i-1]
	}
	return nil
}

func (b *branch48) add(edge byte, child *node) branch {
	if i := b.slots[edge]; i > 0 {
		b.children[i-1] = child
		return b
	}
	if b.used == len(b.children) {
		return expand(b).add(edge, child)
	}
	for i := range b.children {
		if b.children[i] == nil {
			b.children[i] = child
			b.slots[edge] = byte(i + 1)
			b.used++
			break
		}
	}
	return b
}

func (b *branch48) remove(edge byte) branch {
	if i := b.slots[edge]; i > 0 {
		b.children[i-1] = nil
		b.slots[edge] = 0
		b.used--
	}
	if b.used <= 12 {
		return refill(newSortedBranch(16), b)
	}
	return b
}

func (b *branch48) count() int { return b.used }

func (b *branch48) each(visit func(edge byte, child *node)) {
	for edge, i := range b.slots {
		if i > 0 {
			visit(byte(edge), b.children[i-1])
		}
	}
}

// branch256 has a position for each possible edge.
type branch256 struct {
	children [256]*node
	used     int
}

func (b *branch256) find(edge byte) *node { return b.children[edge] }

func (b *branch256) add(edge byte, child *node) branch {
	if b.children[edge] == nil {
		b.used++
	}
	b.children[edge] = child
	return b
}

func (b *branch256) remove(edge byte) branch {
	if b.children[edge] != nil {
		b.children[edge] = nil
		b.used--
	}
	if b.used <= 40 {
		return refill(&branch48{}, b)
	}
	return b
}

func (b *branch256) count() int { return b.used }

func (b *branch256) each(visit func(edge byte, child *node)) {
	for edge, child := range b.children {
		if child != nil {
			visit(byte(edge), child)
		}
	}
}

func expand(full branch) branch {
	switch {
	case full.count() == 4:
		return refill(newSortedBranch(16), full)
	case full.count() == 16:
		return refill(&branch48{}, full)
	}
	return refill(&branch256{}, full)
}

func refill(into, from branch) branch {
	from.each(func(edge byte, child *node) { into = into.add(edge, child) })
	return into
}
