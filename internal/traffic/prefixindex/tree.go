package prefixindex

import "bytes"

// node is a place in the tree: the bytes that lead to it from its parent, what
// is known of the prefix that ends here, and the ways on.
type node struct {
	path []byte
	leaf *Leaf
	ways branch
}

// Tree is the adaptive radix tree over prompt parts. Its keys are the ids of the
// parts, eight bytes each, so a prefix of a prompt is a prefix of its key.
type Tree struct {
	root node
	size int
}

func (n *node) way(edge byte) *node {
	if n.ways == nil {
		return nil
	}
	return n.ways.find(edge)
}

func (n *node) set(edge byte, child *node) {
	if n.ways == nil {
		n.ways = newSorted(4)
	}
	n.ways = n.ways.add(edge, child)
}

func common(left, right []byte) int {
	length := min(len(left), len(right))
	for index := 0; index < length; index++ {
		if left[index] != right[index] {
			return index
		}
	}
	return length
}

// Size is the number of leaves.
func (t *Tree) Size() int { return t.size }

// Leaf finds the leaf of a key, and makes it where it is missing.
func (t *Tree) Leaf(key []byte) *Leaf {
	place, rest := &t.root, key
	for len(rest) > 0 {
		next := place.way(rest[0])
		if next == nil {
			next = &node{path: bytes.Clone(rest)}
			place.set(rest[0], next)
			place = next
			break
		}
		shared := common(next.path, rest)
		if shared < len(next.path) {
			// The path parts here: a node comes in between.
			middle := &node{path: next.path[:shared:shared]}
			below := *next
			below.path = next.path[shared:]
			middle.set(below.path[0], &below)
			place.set(rest[0], middle)
			next = middle
		}
		place, rest = next, rest[shared:]
	}
	if place.leaf == nil {
		place.leaf = &Leaf{key: bytes.Clone(key)}
		t.size++
	}
	return place.leaf
}

// Walk visits the leaves of every prefix of the key, the shortest first.
func (t *Tree) Walk(key []byte, visit func(length int, leaf *Leaf)) {
	place, depth := &t.root, 0
	for depth < len(key) {
		next := place.way(key[depth])
		if next == nil || !bytes.HasPrefix(key[depth:], next.path) {
			return
		}
		depth += len(next.path)
		place = next
		if place.leaf != nil {
			visit(depth, place.leaf)
		}
	}
}

// Remove takes the leaf of a key out, and folds what is left.
func (t *Tree) Remove(key []byte) {
	if removeBelow(&t.root, key) {
		t.size--
	}
}

func removeBelow(place *node, rest []byte) bool {
	if len(rest) == 0 {
		found := place.leaf != nil
		place.leaf = nil
		return found
	}
	next := place.way(rest[0])
	if next == nil || !bytes.HasPrefix(rest, next.path) {
		return false
	}
	if !removeBelow(next, rest[len(next.path):]) {
		return false
	}
	count := 0
	if next.ways != nil {
		count = next.ways.count()
	}
	switch {
	case next.leaf != nil || count > 1:
	case count == 0:
		place.ways = place.ways.remove(rest[0])
	default:
		// One way on and nothing of its own: the two paths become one.
		next.ways.each(func(_ byte, child *node) {
			child.path = append(bytes.Clone(next.path), child.path...)
			place.set(rest[0], child)
		})
	}
	return true
}

// Each visits every leaf.
func (t *Tree) Each(visit func(leaf *Leaf)) { eachBelow(&t.root, visit) }

func eachBelow(place *node, visit func(leaf *Leaf)) {
	if place.leaf != nil {
		visit(place.leaf)
	}
	if place.ways != nil {
		place.ways.each(func(_ byte, child *node) { eachBelow(child, visit) })
	}
}
