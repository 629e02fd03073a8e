package workeremulator

import "lemonarch/internal/platform/clock"

// round is one token of every running request, and one piece of reading.
func (e *Engine) round(span clock.Duration) {
	budget := int64(e.shape.ReadPerMs * clock.ToMilliseconds(span))
	// A copy: the round itself takes requests out of the list.
	for _, one := range append([]*job(nil), e.running...) {
		if one.ask.Work > 0 || !one.pinned {
			continue
		}
		if e.read(one, &budget) {
			e.token(one)
		}
	}
}

// read reads as much of a prompt as the budget allows; true once nothing is left.
func (e *Engine) read(one *job, budget *int64) bool {
	did := false
	for place := range one.unread {
		if one.unread[place] == 0 {
			continue
		}
		did = true
		piece := min(*budget, one.unread[place])
		one.unread[place] -= piece
		*budget -= piece
		e.ReadTokens += piece
		if one.unread[place] > 0 {
			return false
		}
		e.cache.read(one.parts[place])
	}
	if one.again > 0 {
		did = true
		piece := min(*budget, one.again)
		one.again -= piece
		*budget -= piece
		e.ReadTokens += piece
	}
	// The token comes with the next step: this one went into reading.
	return !did
}

// token makes one token of a request, which may need room from others.
func (e *Engine) token(one *job) {
	if one.out < one.ask.Out {
		for !e.cache.room(1, e.outputs()) {
			newest := e.newest()
			e.putBack(newest)
			if newest == one {
				return
			}
		}
		one.out++
	}
	if !one.begun {
		one.begun = true
		e.tell(EffectBegin, one, 0)
	}
	stride := int64(e.shape.Stride)
	whole := one.out == one.ask.Out
	if number := (one.out + stride - 1) / stride; number > one.ask.From && (one.out%stride == 0 || whole) {
		e.tell(EffectEvent, one, number)
	}
	if whole {
		e.tell(EffectFinish, one, 0)
		e.drop(one)
	}
}

func (e *Engine) newest() *job {
	for place := len(e.running) - 1; place >= 0; place-- {
		if e.running[place].ask.Work == 0 {
			return e.running[place]
		}
	}
	return nil
}

// putBack sets a request to the head of the queue; what it has made stays told, and
// is read anew with its prompt.
func (e *Engine) putBack(one *job) {
	e.PutBacks++
	e.tell(EffectPutBack, one, 0)
	e.drop(one)
	e.waiting = append([]*job{one}, e.waiting...)
}

// drop takes a running request out and lets its memory go; read parts stay kept.
func (e *Engine) drop(one *job) {
	for place, other := range e.running {
		if other == one {
			e.running = append(e.running[:place:place], e.running[place+1:]...)
			break
		}
	}
	if one.pinned {
		e.cache.unpin(one.parts)
		one.pinned = false
	}
}

// remove forgets a request, wherever it stands.
func (e *Engine) remove(ticket int64) {
	for _, one := range e.running {
		if one.ask.Ticket == ticket {
			e.drop(one)
			return
		}
	}
	for place, one := range e.waiting {
		if one.ask.Ticket == ticket {
			e.waiting = append(e.waiting[:place:place], e.waiting[place+1:]...)
			return
		}
	}
}

func (e *Engine) expire(now clock.Instant) {
	for _, list := range [][]*job{e.running, e.waiting} {
		for _, one := range append([]*job(nil), list...) {
			if one.ask.Until == 0 || now < one.ask.Until {
				continue
			}
			kind := EffectExpire
			if !one.begun {
				// Without a first token it has not run, and may say so.
				kind = EffectRefuse
			}
			e.tell(kind, one, 0)
			e.remove(one.ask.Ticket)
		}
	}
}
