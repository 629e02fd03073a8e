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
	pause   func(clock.Span)
	result  *Result

	lock sync.Mutex
	sent map[string]*sent
	open int
}

// Drive sends a whole load to the fleet behind an endpoint, checks it, and gives what came of
// it. It ends early, in order, when the context does. The result is partial beside an error.
func Drive(until contexts.Context, options Options, endpoint *Endpoint, troubles []lab.Trouble) (*Result, error) {
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
	one := newRun(options, card, routes, "ld"+strconv.FormatInt(clock.Wall(), 36)+"-")
	one.play(until, endpoint, troubles)
	return one.result, one.compareWith(endpoint)
}

// play sends everything, with the troubles in between, and waits for the last answer.
func (one *run) play(until contexts.Context, endpoint *Endpoint, troubles []lab.Trouble) {
	var group sync.WaitGroup
	begun := clock.Now()
	for _, trouble := range troubles {
		group.Go(func() { one.begin(until, begun, endpoint, trouble) })
	}
	if one.options.LotRate > 0 {
		group.Go(func() { one.sendLots(until, begun) })
	}
	done := make(chan struct{})
	if progress := one.options.Progress; progress != nil {
		go clock.Every(constants.LoadProgress, done, func() { progress(one.result.sofar(clock.Now().Since(begun))) })
	}
	one.orders(until, begun)
	group.Wait()
	close(done)
	if transport, is := one.client.(*http.Transport); is {
		transport.CloseIdleConnections()
	}
	one.result.Took = clock.Now().Since(begun).Seconds()
}

// begin has the fleet begin a trouble at its time.
func (one *run) begin(until contexts.Context, begun clock.Moment, endpoint *Endpoint, trouble lab.Trouble) {
	if !waitUntil(until, begun.Plus(clock.Milliseconds(trouble.AtS*1000))) {
		return
	}
	if err := endpoint.Trouble(trouble); err != nil {
		one.result.note("trouble " + trouble.Kind + " " + trouble.Target + ": " + err.Error())
	}
}

// compareWith holds what was sent against what the fleet's workers ran.
func (one *run) compareWith(endpoint *Endpoint) error {
	runs, err := endpoint.Runs(one.prefix)
	if err != nil {
		return err
	}
	one.compare(runs.Runs)
	if runs.Dropped > 0 {
		one.result.note(strconv.Itoa(runs.Dropped) + " runs no longer fitted into the record; the check is partial")
	}
	return nil
}

func newRun(options Options, card *lab.Card, routes map[string]*routeconfig.Route, prefix string) *run {
	dialer := &net.Dialer{Timeout: constants.EmulatorBeatWait}
	return &run{options: options, card: card, routes: routes, prefix: prefix, result: newResult(card.Label), sent: map[string]*sent{}, pause: clock.Sleep,
		client: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: constants.LoadOpen, DialContext: dialer.DialContext}}
}

// compare holds all that was sent against the record of the workers.
func (one *run) compare(runs []workeremulator.Run) {
	one.lock.Lock()
	defer one.lock.Unlock()
	for _, finding := range checkRuns(one.sent, runs) {
		one.result.find(finding)
	}
	one.result.Runs = len(runs)
}

// waitUntil waits for a moment; false where the context ends first.
func waitUntil(until contexts.Context, at clock.Moment) bool {
	select {
	case <-until.Done():
		return false
	case <-clock.After(at.Since(clock.Now())):
		return true
	}
}

// orders sends every order when it is due, whatever became of those before.
func (one *run) orders(until contexts.Context, begun clock.Moment) {
	var group sync.WaitGroup
	for _, due := range schedule(&one.options, one.routes, len(one.card.Ingress)) {
		if at := begun.Plus(due.at); at > clock.Now() && !waitUntil(until, at) {
			break
		}
		if until.Err() != nil {
			break
		}
		one.lock.Lock()
		full := one.open >= constants.LoadOpen
		if !full {
			one.open++
		}
		one.lock.Unlock()
		if full {
			// Told, not hidden: a load tool that is full no longer sends its rate.
			one.result.notSent()
			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			one.serve(due.order)
			one.lock.Lock()
			one.open--
			one.lock.Unlock()
		}()
	}
	group.Wait()
}

// remember notes an attempt before it is sent.
func (one *run) remember(attempt, path string, body []byte, route *routeconfig.Route, once, item bool) *sent {
	services := []string{route.Backend}
	for _, share := range route.Weighted {
		services = append(services, share.Backend)
	}
	made := &sent{attempt: attempt, path: path, body: workeremulator.BodySum(body), services: services, once: once, item: item}
	one.lock.Lock()
	defer one.lock.Unlock()
	one.sent[attempt] = made
	return made
}

// settle notes what became of an attempt.
func (one *run) settle(made *sent, promised, succeeded bool) {
	one.lock.Lock()
	defer one.lock.Unlock()
	made.promised, made.succeeded = promised, succeeded
}
