package foreman

import (
	"net/http"

	"lemonarch/internal/almanac"
	"lemonarch/internal/errand"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
)

func errandStop(server *http.Server) {
	stopping, done := errand.Timed(errand.Background(), almanac.BulkCallTime)
	defer done()
	_ = server.Shutdown(stopping)
}

// LearnSets takes the sets of a value that came without its body.
func (register *Register) LearnSets(value pattern.Register) {
	register.lock.Lock()
	defer register.lock.Unlock()
	if len(value.Acceptors) == 0 {
		return
	}
	if len(register.known.Acceptors) == 0 || value.SetEpoch > register.known.SetEpoch {
		register.known = value
	}
}

// chosen puts a value in force here and, where push is set, tells everybody
// before the caller acknowledges it.
func (foreman *Foreman) chosen(value pattern.Register, push bool) {
	if value.Current.Generation == 0 {
		return
	}
	newer := value.Current.Generation > foreman.Stand.Generation()
	foreman.Stand.Take(value.Body)
	if push || newer {
		word := &pattern.Relay{Generation: value.Current.Generation, Body: value.Body}
		if !push {
			go foreman.spread(word, almanac.PushTime)
			return
		}
		foreman.spread(word, almanac.PushTime)
	}
}

// accepted is told when our acceptor took a value. Its proposer may die right
// after it has acknowledged it, so we look for ourselves a little later.
func (foreman *Foreman) accepted(generation int64) {
	if generation <= foreman.Stand.Generation() {
		return
	}
	go func() {
		watch.Sleep(almanac.PushTime)
		for round := 0; round < 5 && foreman.Stand.Generation() < generation; round++ {
			if value, failure := foreman.Register.Read(); failure == nil {
				foreman.chosen(value, false)
				return
			}
			watch.Sleep(almanac.PushTime)
		}
	}()
}
