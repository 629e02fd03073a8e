package trestle

import (
	"math/rand"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// OnAnswer registers who adds to what a foreman answers in the periodic exchange.
func (trestle *Trestle) OnAnswer(function func(answer *pattern.Shuffle)) { trestle.onAnswer = function }

// OnWord registers who hears what a foreman answered.
func (trestle *Trestle) OnWord(function func(address string, answer *pattern.Shuffle)) {
	trestle.onWord = function
}

// meet asks the seeds until a foreman is known, then goes over to the periodic
// exchange. Foremen have a period of their own (the foreman's beat).
func (trestle *Trestle) meet() {
	const meetings = 10
	foreman := trestle.Own.Role == bellows.RoleForeman
	for round := 0; ; round++ {
		for _, seed := range trestle.Boot.SeedAddresses(almanac.PortForeman) {
			if seed != trestle.Own.Address {
				go trestle.report(seed)
			}
		}
		watch.Sleep(almanac.StartPause * 2)
		// Foremen that all start at once go on until they have met.
		if len(trestle.Live(bellows.RoleForeman)) > 0 && (!foreman || round > meetings) {
			break
		}
		select {
		case <-trestle.Stop:
			return
		default:
		}
	}
	if foreman {
		return
	}
	trestle.exchange()
	// Processes that start at one moment must not all ask at one moment ever after.
	watch.Sleep(watch.Span(rand.Int63n(int64(almanac.ShufflePeriod))))
	watch.Every(almanac.ShufflePeriod, trestle.Stop, trestle.exchange)
}

// exchange is the periodic word with a foreman of the hall, or of another hall while
// this one's don't answer; now and then, and while no foreman answers, with a neighbour.
func (trestle *Trestle) exchange() {
	const tries = 3
	trestle.lock.Lock()
	trestle.rounds++
	round := trestle.rounds
	foremen := trestle.view.Foremen(watch.Now())
	trestle.lock.Unlock()
	heard := false
	for place := 0; place < min(tries, len(foremen)) && !heard; place++ {
		heard = trestle.report(foremen[place].Address)
	}
	if !heard {
		// The seeds may know foremen that started since.
		seeds := trestle.Boot.SeedAddresses(almanac.PortForeman)
		heard = trestle.report(seeds[rand.Intn(len(seeds))])
	}
	if !heard || round%almanac.NeighbourRounds == 0 {
		trestle.lock.Lock()
		partner := trestle.view.Partner(watch.Now())
		trestle.lock.Unlock()
		if partner != "" {
			trestle.shuffleWith(partner)
		}
	}
}

// report asks one foreman and takes its answer.
func (trestle *Trestle) report(address string) bool {
	trestle.lock.Lock()
	question := trestle.view.Question()
	trestle.lock.Unlock()
	answer := &pattern.Shuffle{}
	if tongs.Ask(trestle.Wire, address, pattern.KindShuffle, question, answer, almanac.ReportTime) != nil {
		trestle.lock.Lock()
		trestle.view.Failed(address, watch.Now())
		trestle.lock.Unlock()
		return false
	}
	trestle.lock.Lock()
	trestle.learnPlaces(answer.Entries)
	trestle.view.Answered(question, answer, watch.Now())
	trestle.lock.Unlock()
	trestle.sawEntries(answer.Entries)
	trestle.sawPlan(answer.Plan, address)
	if trestle.onWord != nil {
		trestle.onWord(address, answer)
	}
	return true
}

func (trestle *Trestle) shuffleWith(address string) {
	trestle.lock.Lock()
	question := &pattern.Shuffle{Entries: trestle.view.Offer(watch.Now())}
	trestle.lock.Unlock()
	answer := &pattern.Shuffle{}
	if tongs.Ask(trestle.Wire, address, pattern.KindShuffle, question, answer, almanac.CallTime) == nil {
		trestle.heard(answer.Entries)
	}
}

func (trestle *Trestle) shuffled(body []byte) ([]byte, error) {
	question := &pattern.Shuffle{}
	if failure := tongs.Read(body, question); failure != nil {
		return nil, failure
	}
	trestle.heard(question.Entries)
	trestle.lock.Lock()
	var answer *pattern.Shuffle
	if trestle.Own.Role == bellows.RoleForeman {
		answer = trestle.view.Answer(question, watch.Now())
	} else {
		answer = &pattern.Shuffle{Entries: trestle.view.Offer(watch.Now())}
	}
	trestle.lock.Unlock()
	if trestle.onAnswer != nil {
		trestle.onAnswer(answer)
	}
	return tongs.Write(answer)
}

// Hear takes entries as a shuffle brings them.
func (trestle *Trestle) Hear(entries []pattern.Entry) { trestle.heard(entries) }

func (trestle *Trestle) heard(entries []pattern.Entry) {
	trestle.lock.Lock()
	trestle.learnPlaces(entries)
	trestle.view.Heard(entries, watch.Now())
	trestle.lock.Unlock()
	trestle.sawEntries(entries)
}

func (trestle *Trestle) sawEntries(entries []pattern.Entry) {
	newest := int64(0)
	for _, entry := range entries {
		newest = max(newest, entry.Generation)
	}
	trestle.SawGeneration(newest)
}

// Viewed runs a function on the view, which must not be kept.
func (trestle *Trestle) Viewed(function func(view *bellows.View)) {
	trestle.lock.Lock()
	defer trestle.lock.Unlock()
	function(trestle.view)
}
