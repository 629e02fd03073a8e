package chisel

import "lemonarch/internal/watch"

// Sweep drops idle pipes past their time and those of workers that are gone.
func (chest *Chest) Sweep(gone func(worker string) bool) {
	now := watch.Now()
	var stale []*Pipe
	chest.lock.Lock()
	for id, pipes := range chest.workers {
		kept := pipes.idle[:0]
		for _, pipe := range pipes.idle {
			if now >= pipe.idleUntil || gone(id) {
				stale = append(stale, pipe)
			} else {
				kept = append(kept, pipe)
			}
		}
		pipes.idle = kept
		if pipes.open == 0 && gone(id) {
			delete(chest.workers, id)
		}
	}
	chest.lock.Unlock()
	for _, pipe := range stale {
		chest.Drop(pipe)
	}
}
