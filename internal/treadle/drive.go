package treadle

import (
	"net"
	"net/http"
	"strconv"
	"sync"

	"lemonarch/internal/almanac"
	"lemonarch/internal/anvil"
	"lemonarch/internal/errand"
	"lemonarch/internal/jig"
	"lemonarch/internal/sawhorse"
	"lemonarch/internal/watch"
)

// run is one load on one fleet.
type run struct {
	options Options
	card    *sawhorse.Card
	routes  map[string]*jig.Route
	prefix  string
	client  http.RoundTripper
	pause   func(watch.Span)
	result  *Result

	lock sync.Mutex
	sent map[string]*sent
	open int
}

// Drive sends a whole load to the fleet of a desk, checks it, and gives what came of
// it. It ends early, in order, when the errand does.
func Drive(until errand.Errand, options Options, desk *Desk, troubles []sawhorse.Trouble) (*Result, error) {
	if failure := options.Check(); failure != nil {
		return nil, failure
	}
	card, failure := desk.Card()
	if failure != nil {
		return nil, failure
	}
	routes, failure := options.routesOf(card)
	if failure != nil {
		return nil, failure
	}
	one := newRun(options, card, routes, "ld"+strconv.FormatInt(watch.Wall(), 36)+"-")
	var group sync.WaitGroup
	begun := watch.Now()
	for _, trouble := range troubles {
		group.Add(1)
		go func() {
			defer group.Done()
			if waitUntil(until, begun.Plus(watch.Milliseconds(trouble.AtS*1000))) {
				if failure := desk.Trouble(trouble); failure != nil {
					one.result.note("trouble " + trouble.Kind + " " + trouble.Target + ": " + failure.Error())
				}
			}
		}()
	}
	if options.LotRate > 0 {
		group.Add(1)
		go func() {
			defer group.Done()
			one.lots(until, begun)
		}()
	}
	done := make(chan struct{})
	if options.Progress != nil {
		go watch.Every(almanac.LoadProgress, done, func() { options.Progress(one.result.sofar(watch.Now().Since(begun))) })
	}
	one.orders(until, begun)
	group.Wait()
	close(done)
	if transport, is := one.client.(*http.Transport); is {
		transport.CloseIdleConnections()
	}
	one.result.Took = watch.Now().Since(begun).Seconds()
	runs, failure := desk.Runs(one.prefix)
	if failure != nil {
		return nil, failure
	}
	one.compare(runs.Runs)
	if runs.Dropped > 0 {
		one.result.note(strconv.Itoa(runs.Dropped) + " runs no longer fitted into the record; the check is partial")
	}
	return one.result, nil
}

func newRun(options Options, card *sawhorse.Card, routes map[string]*jig.Route, prefix string) *run {
	dialer := &net.Dialer{Timeout: almanac.AnvilBeatWait}
	return &run{options: options, card: card, routes: routes, prefix: prefix, result: newResult(card.Label), sent: map[string]*sent{}, pause: watch.Sleep,
		client: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: almanac.LoadOpen, DialContext: dialer.DialContext}}
}

// compare holds all that was sent against the record of the workers.
func (one *run) compare(runs []anvil.Run) {
	one.lock.Lock()
	defer one.lock.Unlock()
	for _, finding := range checkRuns(one.sent, runs) {
		one.result.find(finding)
	}
	one.result.Runs = len(runs)
}

// waitUntil waits for a moment; false where the errand ends first.
func waitUntil(until errand.Errand, at watch.Moment) bool {
	select {
	case <-until.Done():
		return false
	case <-watch.After(at.Since(watch.Now())):
		return true
	}
}

// orders sends every order when it is due, whatever became of those before.
func (one *run) orders(until errand.Errand, begun watch.Moment) {
	var group sync.WaitGroup
	for _, due := range schedule(&one.options, one.routes, len(one.card.Ingress)) {
		if at := begun.Plus(due.at); at > watch.Now() && !waitUntil(until, at) {
			break
		}
		if until.Err() != nil {
			break
		}
		one.lock.Lock()
		full := one.open >= almanac.LoadOpen
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
func (one *run) remember(attempt, path string, body []byte, route *jig.Route, once, item bool) *sent {
	services := []string{route.Backend}
	for _, share := range route.Weighted {
		services = append(services, share.Backend)
	}
	made := &sent{attempt: attempt, path: path, body: anvil.BodySum(body), services: services, once: once, item: item}
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
