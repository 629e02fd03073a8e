// Package forecastlab tries the forecast on the real programs: it starts a lab's fleet for a
// generated case, loads it, forecasts, brings the surge about in real time, and compares. Figures
// are of loopback and emulated workers.
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

// requestTimeout is how long a client waits.
const requestTimeout = 5 * time.Second

// driver sends the requests of one family as they come, whatever becomes of those before.
type driver struct {
	load    forecastcases.Load
	ingress []string
	random  *rand.Rand
	client  *http.Client

	lock sync.Mutex
	// surging is set while the surge is on; all and late count the requests that came in it.
	surging   bool
	all, late int
	sent      int
	under     sync.WaitGroup
}

func newDriver(load forecastcases.Load, ingress []string, seed uint64) *driver {
	return &driver{load: load, ingress: ingress, random: rand.New(rand.NewPCG(seed, 5)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}}}
}

// run sends until the context ends, and waits for what is under way.
func (d *driver) run(until context.Context) {
	defer d.under.Wait()
	next := clock.Now()
	for until.Err() == nil {
		d.lock.Lock()
		rate := d.load.Rate
		if d.surging {
			rate += d.load.Surge
		}
		d.lock.Unlock()
		next = next.Add(clock.Milliseconds(d.random.ExpFloat64() * 1000 / rate))
		// A pause is short against the times that matter, so that a surge begins in time.
		for clock.Now() < next && until.Err() == nil {
			clock.Sleep(min(next.Sub(clock.Now()), clock.Milliseconds(20)))
		}
		d.send()
	}
}

// setSurging begins or ends the surge.
func (d *driver) setSurging(on bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.surging = on
}

// send sends one request in a goroutine of its own, which ends within requestTimeout.
func (d *driver) send() {
	d.lock.Lock()
	d.sent++
	counts := d.surging
	request := d.request(d.sent)
	d.lock.Unlock()
	d.under.Add(1)
	go func() {
		defer d.under.Done()
		late := !d.inTime(request)
		d.lock.Lock()
		defer d.lock.Unlock()
		if counts {
			d.all++
			if late {
				d.late++
			}
		}
	}()
}

// request makes the number-th request. The lock is held.
func (d *driver) request(number int) *http.Request {
	address := d.ingress[d.random.IntN(len(d.ingress))]
	request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/"+d.load.Family+"/"+fmt.Sprint(number), strings.NewReader("x"))
	request.Host = lab.Host
	header := request.Header
	header.Set("Lemonarch-Attempt-Id", fmt.Sprintf("%s-%d", d.load.Family, number))
	header.Set("Lemonarch-Time-Left-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	if d.load.Out > 0 {
		own := int64(float64(d.load.Own) * (0.5 + d.random.Float64()))
		out := max(int64(float64(d.load.Out)*(0.5+d.random.Float64())), 1)
		header.Set("Lemonarch-Model", d.load.Family)
		header.Set("Lemonarch-Token-Count", fmt.Sprintf("%d,%d", own+d.load.Shared, out))
		prefix := fmt.Sprintf("b%x:%d", number, own)
		if d.load.Shared > 0 {
			prefix = fmt.Sprintf("a1:%d,", d.load.Shared) + prefix
		}
		header.Set("Lemonarch-Prompt-Prefix", prefix)
	}
	return request
}

// inTime tells whether a request was answered completely and in time.
func (d *driver) inTime(request *http.Request) bool {
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

// readEvents reads a body to its end, and gives when its first line came and the longest pause
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
