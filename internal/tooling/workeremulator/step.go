package workeremulator

import "lemonarch/internal/platform/clock"

// runStep generates one token for every running request, or prefills a chunk of its prompt.
func (e *Engine) runStep(span clock.Duration) {
	budget := int64(e.shape.ReadPerMs * clock.ToMilliseconds(span))
	// Iterate over a copy, since the step removes requests from the list.
	for _, req := range append([]*activeRequest(nil), e.running...) {
		if req.request.Work > 0 || !req.pinned {
			continue
		}
		if e.prefill(req, &budget) {
			e.decode(req)
		}
	}
}

// prefill processes as much of a prompt as the budget allows. It returns true if there was
// nothing left to process.
func (e *Engine) prefill(req *activeRequest, budget *int64) bool {
	worked := false
	for i := range req.unreadPrompt {
		if req.unreadPrompt[i] == 0 {
			continue
		}
		worked = true
		read := min(*budget, req.unreadPrompt[i])
		req.unreadPrompt[i] -= read
		*budget -= read
		e.ReadTokens += read
		if req.unreadPrompt[i] > 0 {
			return false
		}
		e.cache.markComplete(req.parts[i])
	}
	if req.unreadOutput > 0 {
		worked = true
		read := min(*budget, req.unreadOutput)
		req.unreadOutput -= read
		*budget -= read
		e.ReadTokens += read
	}
	// The step was spent on prefill, so the token comes with the next one.
	return !worked
}

// decode generates one token of a request. If memory is full, it preempts requests, the newest
// first.
func (e *Engine) decode(req *activeRequest) {
	if req.outputTokens < req.request.Out {
		for !e.cache.makeRoom(1, e.outputTokens()) {
			newest := e.newest()
			e.preempt(newest)
			if newest == req {
				return
			}
		}
		req.outputTokens++
	}
	if !req.started {
		req.started = true
		e.emit(EffectBegin, req, 0)
	}
	stride := int64(e.shape.Stride)
	complete := req.outputTokens == req.request.Out
	if number := (req.outputTokens + stride - 1) / stride; number > req.request.LastEvent && (req.outputTokens%stride == 0 || complete) {
		e.emit(EffectEvent, req, number)
	}
	if complete {
		e.emit(EffectFinish, req, 0)
		e.drop(req)
	}
}

func (e *Engine) newest() *activeRequest {
	for i := len(e.running) - 1; i >= 0; i-- {
		if e.running[i].request.Work == 0 {
			return e.running[i]
		}
	}
	return nil
}

// preempt moves a request to the head of the queue. Output sent so far remains valid and is
// prefilled again together with the prompt.
func (e *Engine) preempt(req *activeRequest) {
	e.Preemptions++
	e.emit(EffectPreempt, req, 0)
	e.drop(req)
	e.waiting = append([]*activeRequest{req}, e.waiting...)
}

// drop removes a running request and releases its memory. Parts that were prefilled completely
// stay cached.
func (e *Engine) drop(req *activeRequest) {
	for i, other := range e.running {
		if other == req {
			e.running = append(e.running[:i:i], e.running[i+1:]...)
			break
		}
	}
	if req.pinned {
		e.cache.unpin(req.parts)
		req.pinned = false
	}
}

// remove removes a request, whether it is running or waiting.
func (e *Engine) remove(ticket int64) {
	for _, req := range e.running {
		if req.request.Ticket == ticket {
			e.drop(req)
			return
		}
	}
	for i, req := range e.waiting {
		if req.request.Ticket == ticket {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			return
		}
	}
}

func (e *Engine) expire(now clock.Instant) {
	for _, list := range [][]*activeRequest{e.running, e.waiting} {
		for _, req := range append([]*activeRequest(nil), list...) {
			if req.request.Deadline == 0 || now < req.request.Deadline {
				continue
			}
			kind := EffectExpire
			if !req.started {
				// Without a first token the request has not run and may be reported as not
				// executed.
				kind = EffectReject
			}
			e.emit(kind, req, 0)
			e.remove(req.request.Ticket)
		}
	}
}
