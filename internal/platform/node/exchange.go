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
				go runtime.report(seed, false)
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
	go clock.Every(constants.SecondReportPeriod, runtime.Stop, runtime.secondReport)
	clock.Every(constants.ShufflePeriod, runtime.Stop, runtime.exchange)
}

// exchange is the periodic report to a controller of the zone, or of another zone while
// this one's don't answer or are detached; now and then, and while no controller
// answers, views are exchanged with a neighbour.
func (runtime *Node) exchange() {
	runtime.lock.Lock()
	runtime.rounds++
	round := runtime.rounds
	controllers := runtime.view.Controllers(clock.Now())
	runtime.lock.Unlock()
	first := runtime.reportToOneOf(controllers, false)
	if first == "" {
		// The seeds may know controllers that started since.
		seeds := runtime.Settings.SeedAddresses(constants.PortController)
		first = runtime.reportToOneOf([]messages.Entry{{Address: seeds[rand.Intn(len(seeds))]}}, false)
	}
	runtime.lock.Lock()
	runtime.firstController = first
	runtime.lock.Unlock()
	if first == "" || round%constants.NeighbourRounds == 0 {
		runtime.lock.Lock()
		partner := runtime.view.Partner(clock.Now())
		runtime.lock.Unlock()
		if partner != "" {
			runtime.shuffleWith(partner)
		}
	}
}

// secondReport is the short report to a second controller, drawn anew each time: neither
// this process's proof of life nor its news depends on one neighbour.
func (runtime *Node) secondReport() {
	runtime.lock.Lock()
	controllers := runtime.view.SecondControllers(runtime.firstController, clock.Now())
	runtime.lock.Unlock()
	runtime.reportToOneOf(controllers, true)
}

// reportToOneOf reports to the first controller of a list that is in contact with a
// majority, and gives its address. It gives up after a few that are silent.
func (runtime *Node) reportToOneOf(controllers []messages.Entry, brief bool) string {
	const silentMost = 3
	for silent, place := 0, 0; place < len(controllers) && silent < silentMost; place++ {
		switch runtime.report(controllers[place].Address, brief) {
		case reportTaken:
			return controllers[place].Address
		case reportSilent:
			silent++
		}
	}
	return ""
}

// reportResult is how a report to a controller ended.
type reportResult int

// The results of a report.
const (
	// reportTaken: the controller is in contact with a majority and answered.
	reportTaken reportResult = iota
	// reportDetached: it answered that it is not in contact; others are asked at once.
	reportDetached
	// reportSilent: it did not answer in time.
	reportSilent
)

// report asks one controller and takes its answer.
func (runtime *Node) report(address string, brief bool) reportResult {
	runtime.lock.Lock()
	question := runtime.view.BriefQuestion()
	if !brief {
		question = runtime.view.Question()
	}
	runtime.lock.Unlock()
	answer := &messages.Shuffle{}
	result := reportTaken
	if transport.Ask(runtime.Wire, address, messages.KindShuffle, question, answer, constants.ReportTime) != nil {
		result = reportSilent
	} else if answer.Detached {
		result = reportDetached
	}
	if result != reportTaken {
		runtime.lock.Lock()
		runtime.view.Failed(address, clock.Now())
		runtime.lock.Unlock()
		return result
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
	return result
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

// sawEntries follows the newest configuration that an entry names, and asks the process
// of that entry for it first: others may not have it.
func (runtime *Node) sawEntries(entries []messages.Entry) {
	var newest messages.Entry
	for _, entry := range entries {
		if entry.Generation > newest.Generation {
			newest = entry
		}
	}
	runtime.SawGenerationAt(newest.Generation, newest.Address)
}

// Viewed runs a function on the view, which must not be kept.
func (runtime *Node) Viewed(function func(view *membership.View)) {
	runtime.lock.Lock()
	defer runtime.lock.Unlock()
	function(runtime.view)
}
