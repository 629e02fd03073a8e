package admission

// Handle identifies a cell of a slab together with its generation, so that a stale handle to a
// reused cell is detected.
type Handle struct {
	index      int
	generation uint32
}

type cell[Value any] struct {
	generation uint32
	occupied   bool
	value      Value
}

// Slab stores continuations without one allocation for each. The zero value is empty and ready to
// use. The caller must serialize access.
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

// Get returns the value of a handle. It returns false if the value has been taken.
func (s *Slab[Value]) Get(handle Handle) (Value, bool) {
	if handle.index < len(s.cells) {
		if entry := &s.cells[handle.index]; entry.occupied && entry.generation == handle.generation {
			return entry.value, true
		}
	}
	var zero Value
	return zero, false
}

// Take removes a value and returns it. Only the first caller receives it, so no continuation is
// resumed twice.
func (s *Slab[Value]) Take(handle Handle) (Value, bool) {
	value, found := s.Get(handle)
	if found {
		var zero Value
		entry := &s.cells[handle.index]
		entry.value, entry.occupied = zero, false
		entry.generation++
		s.free = append(s.free, handle.index)
		s.used--
	}
	return value, found
}

// Len returns the number of stored values.
func (s *Slab[Value]) Len() int { return s.used }
