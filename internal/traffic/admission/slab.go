package admission

// Handle names a cell of a slab together with its generation, so that a late
// call for a cell that was given to another is known.
type Handle struct {
	index      int
	generation uint32
}

type cell[Value any] struct {
	generation uint32
	occupied   bool
	value      Value
}

// Slab keeps continuations without an allocation for each.
type Slab[Value any] struct {
	cells []cell[Value]
	free  []int
	used  int
}

// Put stores a value.
func (s *Slab[Value]) Put(value Value) Handle {
	s.used++
	if count := len(s.free); count > 0 {
		i := s.free[count-1]
		s.free = s.free[:count-1]
		entry := &s.cells[i]
		entry.occupied, entry.value = true, value
		return Handle{i, entry.generation}
	}
	s.cells = append(s.cells, cell[Value]{occupied: true, value: value})
	return Handle{len(s.cells) - 1, 0}
}

// Get finds a value; it is gone once taken.
func (s *Slab[Value]) Get(handle Handle) (Value, bool) {
	if handle.index < len(s.cells) {
		if entry := &s.cells[handle.index]; entry.occupied && entry.generation == handle.generation {
			return entry.value, true
		}
	}
	var nothing Value
	return nothing, false
}

// Take removes a value; only the first caller gets it, so no continuation is
// resumed twice.
func (s *Slab[Value]) Take(handle Handle) (Value, bool) {
	value, found := s.Get(handle)
	if found {
		var nothing Value
		entry := &s.cells[handle.index]
		entry.value, entry.occupied = nothing, false
		entry.generation++
		s.free = append(s.free, handle.index)
		s.used--
	}
	return value, found
}

// Len is how many values are stored.
func (s *Slab[Value]) Len() int { return s.used }
