package prefixindex

import "bytes"

// node is a node of the tree: the bytes that lead to it from its parent, the leaf of the prefix
// that ends here (nil if there is none), and the children.
type node struct {
	path     []byte
	leaf     *Leaf
	children branch
}

// Tree is an adaptive radix tree over prompt parts. Its keys are the names of the parts (Part.Name),
// eight bytes each, so a prefix of a prompt is a prefix of its key.
type Tree struct {
	root node
	size int
}

func (n *node) child(edge byte) *node {
	if n.children == nil {
		return nil
	}
	return n.children.find(edge)
}

func (n *node) setChild(edge byte, child *node) {
	if n.children == nil {
		n.children = newSortedBranch(4)
	}
	n.children = n.children.add(edge, child)
}

func commonPrefixLength(left, right []byte) int {
	length := min(len(left), len(right))
	for index := 0; index < length; index++ {
		if left[index] != right[index] {
			return index
		}
	}
	return length
}

// Size returns the number of leaves.
func (t *Tree) Size() int { return t.size }

// Leaf returns the leaf of a key, and creates it if it is missing.
func (t *Tree) Leaf(key []byte) *Leaf {
	current, rest := &t.root, key
	for len(rest) > 0 {
		next := current.child(rest[0])
		if next == nil {
			next = &node{path: bytes.Clone(rest)}
			current.setChild(rest[0], next)
			current = next
			break
		}
		shared := commonPrefixLength(next.path, rest)
		if shared < len(next.path) {
			// The key diverges within the path: split the path with an intermediate node.
			middle := &node{path: next.path[:shared:shared]}
			below := *next
			below.path = next.path[shared:]
			middle.setChild(below.path[0], &below)
			current.setChild(rest[0], middle)
			next = middle
		}
		current, rest = next, rest[shared:]
	}
	if current.leaf == nil {
		current.leaf = &Leaf{key: bytes.Clone(key)}
		t.size++
	}
	return current.leaf
}

// Walk visits the leaves of all prefixes of the key, the shortest first.
func (t *Tree) Walk(key []byte, visit func(length int, leaf *Leaf)) {
	current, depth := &t.root, 0
	for depth < len(key) {
		next := current.child(key[depth])
		if next == nil || !bytes.HasPrefix(key[depth:], next.path) {
			return
		}
		depth += len(next.path)
		current = next
		if current.leaf != nil {
			visit(depth, current.leaf)
		}
	}
}

// Remove removes the leaf of a key, and merges or removes nodes that are no longer needed.
func (t *Tree) Remove(key []byte) {
	if removeBelow(&t.root, key) {
		t.size--
	}
}

// removeBelow removes the leaf at the end of the path rest below a node, and reports whether there
// was one.
func removeBelow(current *node, rest []byte) bool {
	if len(rest) == 0 {
		removed := current.leaf != nil
		current.leaf = nil
		return removed
	}
	next := current.child(rest[0])
	if next == nil || !bytes.HasPrefix(rest, next.path) {
		return false
	}
	if !removeBelow(next, rest[len(next.path):]) {
		return false
	}
	count := 0
	if next.children != nil {
		count = next.children.count()
	}
	switch {
	case next.leaf != nil || count > 1:
	case count == 0:
		current.children = current.children.remove(rest[0])
	default:
		// The node has no leaf and a single child: join their paths.
		next.children.each(func(_ byte, child *node) {
			child.path = append(bytes.Clone(next.path), child.path...)
			current.setChild(rest[0], child)
		})
	}
	return true
}

// Each visits every leaf.
func (t *Tree) Each(visit func(leaf *Leaf)) { eachBelow(&t.root, visit) }

func eachBelow(current *node, visit func(leaf *Leaf)) {
	if current.leaf != nil {
		visit(current.leaf)
	}
	if current.children != nil {
		current.children.each(func(_ byte, child *node) { eachBelow(child, visit) })
	}
}
