package workeremulator

import "lemonarch/internal/platform/clock"

// round is one token of every running request, and one piece of reading.
func (e *Engine) round(span clock.Duration) {
	budget := int64(e.shape.ReadPerMs * clock.ToMilliseconds(span))
	// A copy: the round itself takes requests out of the list.
	for _, entry := range append([]*job(nil), e.running...) {
		if entry.ask.Work > 0 || !entry.pinned {
			continue
		}
		if e.read(entry, &budget) {
			e.token(entry)
		}
	}
}

// read reads as much of a prompt as the budget allows; true once nothing is left.
func (e *Engine) read(entry *job, budget *int64) bool {
	did := false
	for i := range entry.unread {
		if entry.unread[i] == 0 {
			continue
		}
		did = true
		part := min(*budget, entry.unread[i])
		entry.unread[i] -= part
		*budget -= part
		e.ReadTokens += part
		if entry.unread[i] > 0 {
			return false
		}
		e.cache.read(entry.parts[i])
	}
	if entry.again > 0 {
		did = true
		part := min(*budget, entry.again)
		entry.again -= part
		*budget -= part
		e.ReadTokens += part
	}
	// The token comes with the next step: this one went into reading.
	return !did
}

// token makes one token of a request, which may need room from others.
func (e *Engine) token(entry *job) {
	if entry.out < entry.ask.Out {
		for !e.cache.room(1, e.outputs()) {
			newest := e.newest()
			e.putBack(newest)
			if newest == entry {
				return
			}
		}
		entry.out++
	}
	if !entry.begun {
		entry.begun = true
		e.tell(EffectBegin, entry, 0)
	}
	stride := int64(e.shape.Stride)
	complete := entry.out == entry.ask.Out
	if number := (entry.out + stride - 1) / stride; number > entry.ask.From && (entry.out%stride == 0 || complete) {
		e.tell(EffectEvent, entry, number)
	}
	if complete {
		e.tell(EffectFinish, entry, 0)
		e.drop(entry)
	}
}

func (e *Engine) newest() *job {
	for i := len(e.running) - 1; i >= 0; i-- {
		if e.running[i].ask.Work == 0 {
			return e.running[i]
		}
	}
	return nil
}

// putBack sets a request to the head of the queue; what it has made stays told, and
// is read anew with its prompt.
func (e *Engine) putBack(entry *job) {
	e.PutBacks++
	e.tell(EffectPutBack, entry, 0)
	e.drop(entry)
	e.waiting = append([]*job{entry}, e.waiting...)
}

// drop takes a running request out and lets its memory go; read parts stay kept.
func (e *Engine) drop(entry *job) {
	for i, other := range e.running {
		if other == entry {
			e.running = append(e.running[:i:i], e.running[i+1:]...)
			break
		}
	}
	if entry.pinned {
		e.cache.unpin(entry.parts)
		entry.pinned = false
	}
}

// remove forgets a request, wherever it stands.
func (e *Engine) remove(ticket int64) {
	for _, entry := range e.running {
		if entry.ask.Ticket == ticket {
			e.drop(entry)
			return
		}
	}
	for i, entry := range e.waiting {
		if entry.ask.Ticket == ticket {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			return
		}
	}
}

func (e *Engine) expire(now clock.Instant) {
	for _, list := range [][]*job{e.running, e.waiting} {
		for _, entry := range append([]*job(nil), list...) {
			if entry.ask.Until == 0 || now < entry.ask.Until {
				continue
			}
			kind := EffectExpire
			if !entry.begun {
				// Without a first token it has not run, and may say so.
				kind = EffectRefuse
			}
			e.tell(kind, entry, 0)
			e.remove(entry.ask.Ticket)
		}
	}
}
