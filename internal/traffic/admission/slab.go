package admission

// Handle names a place in a slab together with its generation, so that a late
// call for a place that was given to another is known.
type Handle struct {
	place      int
	generation uint32
}

type cell[Value any] struct {
	generation uint32
	taken      bool
	value      Value
}

// Slab keeps continuations without an allocation for each.
type Slab[Value any] struct {
	cells []cell[Value]
	free  []int
	used  int
}

// Put stores a value.
func (slab *Slab[Value]) Put(value Value) Handle {
	slab.used++
	if count := len(slab.free); count > 0 {
		place := slab.free[count-1]
		slab.free = slab.free[:count-1]
		one := &slab.cells[place]
		one.taken, one.value = true, value
		return Handle{place, one.generation}
	}
	slab.cells = append(slab.cells, cell[Value]{taken: true, value: value})
	return Handle{len(slab.cells) - 1, 0}
}

// Get finds a value; it is gone once taken.
func (slab *Slab[Value]) Get(handle Handle) (Value, bool) {
	if handle.place < len(slab.cells) {
		if one := &slab.cells[handle.place]; one.taken && one.generation == handle.generation {
			return one.value, true
		}
	}
	var nothing Value
	return nothing, false
}

// Take removes a value; only the first caller gets it, so no continuation is
// resumed twice.
func (slab *Slab[Value]) Take(handle Handle) (Value, bool) {
	value, found := slab.Get(handle)
	if found {
		var nothing Value
		one := &slab.cells[handle.place]
		one.value, one.taken = nothing, false
		one.generation++
		slab.free = append(slab.free, handle.place)
		slab.used--
	}
	return value, found
}

// Len is how many values are stored.
func (slab *Slab[Value]) Len() int { return slab.used }
