package node

import (
	"math/rand"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// OnAnswer registers who adds to what a controller answers in the periodic exchange.
func (runtime *Node) OnAnswer(function func(answer *messages.Shuffle)) { runtime.onAnswer = function }

// OnWord registers who hears what a controller answered.
func (runtime *Node) OnWord(function func(address string, answer *messages.Shuffle)) {
	runtime.onWord = function
}

// meet asks the seeds until a controller is known, then goes over to the periodic
// exchange. Controllers have a period of their own (the controller's beat).
func (runtime *Node) meet() {
	const meetings = 10
	controller := runtime.Own.Role == membership.RoleController
	for round := 0; ; round++ {
		for _, seed := range runtime.Settings.SeedAddresses(constants.PortController) {
			if seed != runtime.Own.Address {
				go runtime.report(seed)
			}
		}
		clock.Sleep(constants.StartPause * 2)
		// Controllers that all start at once go on until they have met.
		if len(runtime.Live(membership.RoleController)) > 0 && (!controller || round > meetings) {
			break
		}
		select {
		case <-runtime.Stop:
			return
		default:
		}
	}
	if controller {
		return
	}
	runtime.exchange()
	// Processes that start at one moment must not all ask at one moment ever after.
	clock.Sleep(clock.Span(rand.Int63n(int64(constants.ShufflePeriod))))
	clock.Every(constants.ShufflePeriod, runtime.Stop, runtime.exchange)
}

// exchange is the periodic word with a controller of the zone, or of another zone while
// this one's don't answer; now and then, and while no controller answers, with a neighbour.
func (runtime *Node) exchange() {
	const tries = 3
	runtime.lock.Lock()
	runtime.rounds++
	round := runtime.rounds
	controllers := runtime.view.Controllers(clock.Now())
	runtime.lock.Unlock()
	heard := false
	for place := 0; place < min(tries, len(controllers)) && !heard; place++ {
		heard = runtime.report(controllers[place].Address)
	}
	if !heard {
		// The seeds may know controllers that started since.
		seeds := runtime.Settings.SeedAddresses(constants.PortController)
		heard = runtime.report(seeds[rand.Intn(len(seeds))])
	}
	if !heard || round%constants.NeighbourRounds == 0 {
		runtime.lock.Lock()
		partner := runtime.view.Partner(clock.Now())
		runtime.lock.Unlock()
		if partner != "" {
			runtime.shuffleWith(partner)
		}
	}
}

// report asks one controller and takes its answer.
func (runtime *Node) report(address string) bool {
	runtime.lock.Lock()
	question := runtime.view.Question()
	runtime.lock.Unlock()
	answer := &messages.Shuffle{}
	if transport.Ask(runtime.Wire, address, messages.KindShuffle, question, answer, constants.ReportTime) != nil {
		runtime.lock.Lock()
		runtime.view.Failed(address, clock.Now())
		runtime.lock.Unlock()
		return false
	}
	runtime.lock.Lock()
	runtime.learnPlaces(answer.Entries)
	runtime.view.Answered(question, answer, clock.Now())
	runtime.lock.Unlock()
	runtime.sawEntries(answer.Entries)
	runtime.sawPlan(answer.Plan, address)
	if runtime.onWord != nil {
		runtime.onWord(address, answer)
	}
	return true
}

func (runtime *Node) shuffleWith(address string) {
	runtime.lock.Lock()
	question := &messages.Shuffle{Entries: runtime.view.Offer(clock.Now())}
	runtime.lock.Unlock()
	answer := &messages.Shuffle{}
	if transport.Ask(runtime.Wire, address, messages.KindShuffle, question, answer, constants.CallTime) == nil {
		runtime.heard(answer.Entries)
	}
}

func (runtime *Node) shuffled(body []byte) ([]byte, error) {
	question := &messages.Shuffle{}
	if err := transport.Read(body, question); err != nil {
		return nil, err
	}
	runtime.heard(question.Entries)
	runtime.lock.Lock()
	var answer *messages.Shuffle
	if runtime.Own.Role == membership.RoleController {
		answer = runtime.view.Answer(question, clock.Now())
	} else {
		answer = &messages.Shuffle{Entries: runtime.view.Offer(clock.Now())}
	}
	runtime.lock.Unlock()
	if runtime.onAnswer != nil {
		runtime.onAnswer(answer)
	}
	return transport.Write(answer)
}

// Hear takes entries as a shuffle brings them.
func (runtime *Node) Hear(entries []messages.Entry) { runtime.heard(entries) }

func (runtime *Node) heard(entries []messages.Entry) {
	runtime.lock.Lock()
	runtime.learnPlaces(entries)
	runtime.view.Heard(entries, clock.Now())
	runtime.lock.Unlock()
	runtime.sawEntries(entries)
}

func (runtime *Node) sawEntries(entries []messages.Entry) {
	newest := int64(0)
	for _, entry := range entries {
		newest = max(newest, entry.Generation)
	}
	runtime.SawGeneration(newest)
}

// Viewed runs a function on the view, which must not be kept.
func (runtime *Node) Viewed(function func(view *membership.View)) {
	runtime.lock.Lock()
	defer runtime.lock.Unlock()
	function(runtime.view)
}
