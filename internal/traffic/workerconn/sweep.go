package workerconn

import "lemonarch/internal/platform/clock"

// Sweep closes idle connections that have expired and those to workers that have departed.
func (p *Pool) Sweep(departed func(worker string) bool) {
	now := clock.Now()
	var stale []*Connection
	p.lock.Lock()
	for id, connections := range p.byWorker {
		remaining := connections.idle[:0]
		for _, connection := range connections.idle {
			if now >= connection.idleUntil || departed(id) {
				stale = append(stale, connection)
			} else {
				remaining = append(remaining, connection)
			}
		}
		connections.idle = remaining
		if connections.open == 0 && departed(id) {
			delete(p.byWorker, id)
		}
	}
	p.lock.Unlock()
	for _, connection := range stale {
		p.Drop(connection)
	}
}
