// Package forecastlab validates package forecast on the real programs: it starts a lab fleet for a
// generated case, puts it under load, forecasts, runs the surge in real time, and compares the
// prediction with the observation. The figures apply to loopback and emulated workers only.
package forecastlab

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/tooling/forecastcases"
	"lemonarch/internal/tooling/lab"
)

// requestTimeout is how long a client waits for the whole response.
const requestTimeout = 5 * time.Second

// driver sends the requests of one family as an open-loop load: it does not wait for earlier requests.
type driver struct {
	load    forecastcases.Load
	ingress []string
	random  *rand.Rand
	client  *http.Client

	lock sync.Mutex
	// surgeActive is set during the surge; surgeTotal and surgeLate count the requests sent in it.
	surgeActive           bool
	surgeTotal, surgeLate int
	sent                  int
	inFlight              sync.WaitGroup
}

func newDriver(load forecastcases.Load, ingress []string, seed uint64) *driver {
	return &driver{load: load, ingress: ingress, random: rand.New(rand.NewPCG(seed, 5)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}}}
}

// run sends requests until the context ends, and then waits for those in flight.
func (d *driver) run(ctx context.Context) {
	defer d.inFlight.Wait()
	next := clock.Now()
	for ctx.Err() == nil {
		d.lock.Lock()
		rate := d.load.Rate
		if d.surgeActive {
			rate += d.load.SurgeRate
		}
		d.lock.Unlock()
		next = next.Add(clock.Milliseconds(d.random.ExpFloat64() * 1000 / rate))
		// Sleeps at most 20 ms at a time, which is short compared with the durations of a case, so that
		// the load ends soon after the context. The start of a surge takes effect after the next request.
		for clock.Now() < next && ctx.Err() == nil {
			clock.Sleep(min(next.Sub(clock.Now()), clock.Milliseconds(20)))
		}
		d.send()
	}
}

// setSurge starts or ends the surge.
func (d *driver) setSurge(on bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.surgeActive = on
}

// send sends one request in a new goroutine, which ends within requestTimeout.
func (d *driver) send() {
	d.lock.Lock()
	d.sent++
	inSurge := d.surgeActive
	request := d.request(d.sent)
	d.lock.Unlock()
	d.inFlight.Add(1)
	go func() {
		defer d.inFlight.Done()
		late := !d.servedInTime(request)
		d.lock.Lock()
		defer d.lock.Unlock()
		if inSurge {
			d.surgeTotal++
			if late {
				d.surgeLate++
			}
		}
	}()
}

// request returns the request with the given number. The caller must hold the lock.
func (d *driver) request(number int) *http.Request {
	address := d.ingress[d.random.IntN(len(d.ingress))]
	request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/"+d.load.Family+"/"+fmt.Sprint(number), strings.NewReader("x"))
	request.Host = lab.Host
	header := request.Header
	header.Set("Lemonarch-Attempt-Id", fmt.Sprintf("%s-%d", d.load.Family, number))
	header.Set("Lemonarch-Time-Left-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	if d.load.OutTokens > 0 {
		own := int64(float64(d.load.OwnTokens) * (0.5 + d.random.Float64()))
		out := max(int64(float64(d.load.OutTokens)*(0.5+d.random.Float64())), 1)
		header.Set("Lemonarch-Model", d.load.Family)
		header.Set("Lemonarch-Token-Count", fmt.Sprintf("%d,%d", own+d.load.SharedTokens, out))
		prefix := fmt.Sprintf("b%x:%d", number, own)
		if d.load.SharedTokens > 0 {
			prefix = fmt.Sprintf("a1:%d,", d.load.SharedTokens) + prefix
		}
		header.Set("Lemonarch-Prompt-Prefix", prefix)
	}
	return request
}

// servedInTime sends a request, and reports whether the response was complete and met the latency
// targets.
func (d *driver) servedInTime(request *http.Request) bool {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	start := clock.Now()
	resp, err := d.client.Do(request.WithContext(ctx))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return false
	}
	first, longest, err := d.readEvents(resp.Body)
	if err != nil {
		return false
	}
	return clock.ToMilliseconds(first.Sub(start)) <= d.load.TargetMs && (d.load.GapMs <= 0 || clock.ToMilliseconds(longest) <= d.load.GapMs)
}

// readEvents reads a body to its end. It returns when the first line arrived and the longest gap
// between two events.
func (d *driver) readEvents(body io.Reader) (first clock.Instant, longest clock.Duration, err error) {
	reader, last := bufio.NewReader(body), clock.Instant(0)
	for {
		text, cause := reader.ReadString('\n')
		now := clock.Now()
		if first == 0 && len(text) > 0 {
			first = now
		}
		if strings.HasPrefix(text, "id:") {
			if last > 0 {
				longest = max(longest, now.Sub(last))
			}
			last = now
		}
		if cause == io.EOF {
			return first, longest, nil
		}
		if cause != nil {
			return first, longest, cause
		}
	}
}
