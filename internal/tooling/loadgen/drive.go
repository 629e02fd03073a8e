package loadgen

import (
	"net"
	"net/http"
	"strconv"
	"sync"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/tooling/lab"
	"lemonarch/internal/tooling/workeremulator"
)

// run is one load on one fleet.
type run struct {
	options Options
	card    *lab.Card
	routes  map[string]*routeconfig.Route
	prefix  string
	client  http.RoundTripper
	pause   func(clock.Duration)
	result  *Result

	lock sync.Mutex
	attempts map[string]*sentAttempt
	inFlight int
}

// Drive sends a whole load to the fleet behind an endpoint, checks it, and gives what came of
// it. It ends early, in order, when the context does. The result is partial beside an error.
func Drive(until contexts.Context, options Options, endpoint *Endpoint, faults []lab.Trouble) (*Result, error) {
	if err := options.Check(); err != nil {
		return nil, err
	}
	card, err := endpoint.Card()
	if err != nil {
		return nil, err
	}
	routes, err := options.routesOf(card)
	if err != nil {
		return nil, err
	}
	entry := newRun(options, card, routes, "ld"+strconv.FormatInt(clock.WallNanos(), 36)+"-")
	entry.sendLoad(until, endpoint, faults)
	return entry.result, entry.fetchAndCompareRuns(endpoint)
}

// play sends everything, with the troubles in between, and waits for the last answer.
func (r *run) sendLoad(until contexts.Context, endpoint *Endpoint, faults []lab.Trouble) {
	var group sync.WaitGroup
	started := clock.Now()
	for _, fault := range faults {
		group.Go(func() { r.startTrouble(until, started, endpoint, fault) })
	}
	if r.options.LotRate > 0 {
		group.Go(func() { r.sendJobs(until, started) })
	}
	done := make(chan struct{})
	if progress := r.options.Progress; progress != nil {
		go clock.Every(constants.LoadProgress, done, func() { progress(r.result.progressLine(clock.Now().Sub(started))) })
	}
	r.sendRequests(until, started)
	group.Wait()
	close(done)
	if transport, is := r.client.(*http.Transport); is {
		transport.CloseIdleConnections()
	}
	r.result.Took = clock.Now().Sub(started).Seconds()
}

// begin has the fleet begin a trouble at its time.
func (r *run) startTrouble(until contexts.Context, started clock.Instant, endpoint *Endpoint, fault lab.Trouble) {
	if !waitUntil(until, started.Add(clock.Milliseconds(fault.AtS*1000))) {
		return
	}
	if err := endpoint.StartTrouble(fault); err != nil {
		r.result.addNote("trouble " + fault.Kind + " " + fault.Target + ": " + err.Error())
	}
}

// compareWith holds what was sent against what the fleet's workers ran.
func (r *run) fetchAndCompareRuns(endpoint *Endpoint) error {
	runs, err := endpoint.Runs(r.prefix)
	if err != nil {
		return err
	}
	r.compareRuns(runs.Runs)
	if runs.Dropped > 0 {
		r.result.addNote(strconv.Itoa(runs.Dropped) + " runs no longer fitted into the record; the check is partial")
	}
	return nil
}

func newRun(options Options, card *lab.Card, routes map[string]*routeconfig.Route, prefix string) *run {
	dialer := &net.Dialer{Timeout: constants.EmulatorHeartbeatWait}
	return &run{options: options, card: card, routes: routes, prefix: prefix, result: newResult(card.Label), attempts: map[string]*sentAttempt{}, pause: clock.Sleep,
		client: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: constants.LoadOpen, DialContext: dialer.DialContext}}
}

// compare holds all that was sent against the record of the workers.
func (r *run) compareRuns(runs []workeremulator.Run) {
	r.lock.Lock()
	defer r.lock.Unlock()
	findings := checkRuns(r.attempts, runs)
	if r.options.PlannedOnly {
		findings = append(findings, checkCuts(r.attempts, runs)...)
	}
	for _, finding := range findings {
		r.result.addFinding(finding)
	}
	r.result.Runs = len(runs)
}

// waitUntil waits for a moment; false where the context ends first.
func waitUntil(until contexts.Context, at clock.Instant) bool {
	select {
	case <-until.Done():
		return false
	case <-clock.After(at.Sub(clock.Now())):
		return true
	}
}

// orders sends every order when it is due, whatever became of those before.
func (r *run) sendRequests(until contexts.Context, started clock.Instant) {
	var group sync.WaitGroup
	for _, due := range schedule(&r.options, r.routes, len(r.card.Ingress)) {
		if at := started.Add(due.at); at > clock.Now() && !waitUntil(until, at) {
			break
		}
		if until.Err() != nil {
			break
		}
		r.lock.Lock()
		full := r.inFlight >= constants.LoadOpen
		if !full {
			r.inFlight++
		}
		r.lock.Unlock()
		if full {
			// Told, not hidden: a load tool that is full no longer sends its rate.
			r.result.countNotSent()
			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			r.sendWithRetries(due.spec)
			r.lock.Lock()
			r.inFlight--
			r.lock.Unlock()
		}()
	}
	group.Wait()
}

// remember notes an attempt before it is sent.
func (r *run) recordAttempt(attempt, path string, body []byte, route *routeconfig.Route, once, item bool) *sentAttempt {
	services := []string{route.Backend}
	for _, share := range route.Weighted {
		services = append(services, share.Backend)
	}
	made := &sentAttempt{attempt: attempt, path: path, body: workeremulator.BodySum(body), services: services, atMostOnce: once, batchItem: item}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.attempts[attempt] = made
	return made
}

// noteCut notes an attempt whose connection ended without an answer.
func (r *run) recordCut(made *sentAttempt) {
	r.lock.Lock()
	defer r.lock.Unlock()
	made.cut = true
}

// settle notes what became of an attempt.
func (r *run) recordOutcome(made *sentAttempt, promised, succeeded bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	made.notExecuted, made.succeeded = promised, succeeded
}
