package workeremulator

import "lemonarch/internal/platform/clock"

// round is one token of every running request, and one piece of reading.
func (engine *Engine) round(span clock.Span) {
	budget := int64(engine.shape.ReadPerMs * clock.ToMilliseconds(span))
	// A copy: the round itself takes requests out of the list.
	for _, one := range append([]*job(nil), engine.running...) {
		if one.ask.Work > 0 || !one.pinned {
			continue
		}
		if engine.read(one, &budget) {
			engine.token(one)
		}
	}
}

// read reads as much of a prompt as the budget allows; true once nothing is left.
func (engine *Engine) read(one *job, budget *int64) bool {
	did := false
	for place := range one.unread {
		if one.unread[place] == 0 {
			continue
		}
		did = true
		piece := min(*budget, one.unread[place])
		one.unread[place] -= piece
		*budget -= piece
		engine.ReadTokens += piece
		if one.unread[place] > 0 {
			return false
		}
		engine.cache.read(one.parts[place])
	}
	if one.again > 0 {
		did = true
		piece := min(*budget, one.again)
		one.again -= piece
		*budget -= piece
		engine.ReadTokens += piece
	}
	// The token comes with the next step: this one went into reading.
	return !did
}

// token makes one token of a request, which may need room from others.
func (engine *Engine) token(one *job) {
	if one.out < one.ask.Out {
		for !engine.cache.room(1, engine.outputs()) {
			newest := engine.newest()
			engine.putBack(newest)
			if newest == one {
				return
			}
		}
		one.out++
	}
	if !one.begun {
		one.begun = true
		engine.tell(EffectBegin, one, 0)
	}
	stride := int64(engine.shape.Stride)
	whole := one.out == one.ask.Out
	if number := (one.out + stride - 1) / stride; number > one.ask.From && (one.out%stride == 0 || whole) {
		engine.tell(EffectEvent, one, number)
	}
	if whole {
		engine.tell(EffectFinish, one, 0)
		engine.drop(one)
	}
}

func (engine *Engine) newest() *job {
	for place := len(engine.running) - 1; place >= 0; place-- {
		if engine.running[place].ask.Work == 0 {
			return engine.running[place]
		}
	}
	return nil
}

// putBack sets a request to the head of the queue; what it has made stays told, and
// is read anew with its prompt.
func (engine *Engine) putBack(one *job) {
	engine.PutBacks++
	engine.tell(EffectPutBack, one, 0)
	engine.drop(one)
	engine.waiting = append([]*job{one}, engine.waiting...)
}

// drop takes a running request out and lets its memory go; read parts stay kept.
func (engine *Engine) drop(one *job) {
	for place, other := range engine.running {
		if other == one {
			engine.running = append(engine.running[:place:place], engine.running[place+1:]...)
			break
		}
	}
	if one.pinned {
		engine.cache.unpin(one.parts)
		one.pinned = false
	}
}

// remove forgets a request, wherever it stands.
func (engine *Engine) remove(ticket int64) {
	for _, one := range engine.running {
		if one.ask.Ticket == ticket {
			engine.drop(one)
			return
		}
	}
	for place, one := range engine.waiting {
		if one.ask.Ticket == ticket {
			engine.waiting = append(engine.waiting[:place:place], engine.waiting[place+1:]...)
			return
		}
	}
}

func (engine *Engine) expire(now clock.Moment) {
	for _, list := range [][]*job{engine.running, engine.waiting} {
		for _, one := range append([]*job(nil), list...) {
			if one.ask.Until == 0 || now < one.ask.Until {
				continue
			}
			kind := EffectExpire
			if !one.begun {
				// Without a first token it has not run, and may say so.
				kind = EffectRefuse
			}
			engine.tell(kind, one, 0)
			engine.remove(one.ask.Ticket)
		}
	}
}
