package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// streamConfiguration has one route of streams that may be resumed.
func streamConfiguration() map[string]any {
	return map[string]any{
		"channels": []any{map[string]any{"name": "r-3d3zji9", "host": "ficu95.example", "path-prefix": "/lohu930/", "route-kind": "streaming",
			"cutoff-ms": 5000, "setpoint-ms": 200, "priority": 0, "backend": "huvo11a", "tries": 2, "affine": true, "resumable": true, "gap-setpoint-ms": 250}},
		"backends": []any{map[string]any{"name": "huvo11a", "probe": "/health", "conn-limit": 320, "protocol": "h1", "tls": false,
			"engine": map[string]any{"capacity": 4, "cache-tokens": 232000, "cache-bytes": 327680, "bandwidth-mbps": 4400000.0, "stride": 19, "models": []any{map[string]any{"name": "m"}}}}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-wait-ms": 3000, "idle-ms": 15000},
	}
}

// streamResult is what a client saw of one stream.
type streamResult struct {
	id       string
	status   int
	complete bool
	text     string
	err      error
	took     time.Duration
}

var streamClient = &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// askStream sends one request for a stream to a gateway and reads the answer to its end.
func askStream(called context.Context, f *fleet, gateway int, id string) streamResult {
	request, _ := http.NewRequestWithContext(called, http.MethodPost, "http://"+f.ingress(gateway)+"/lohu930/2f", strings.NewReader("which entries"))
	request.Host = "ficu95.example"
	request.Header.Set("Lemonarch-Attempt-Id", id)
	request.Header.Set("Lemonarch-Model", "m")
	request.Header.Set("Lemonarch-Token-Count", "715,300")
	request.Header.Set("Lemonarch-Prompt-Prefix", "5c1e07a2:172,"+id+":543")
	request.Header.Set("Lemonarch-Time-Left-Ms", "5000")
	sentAt, result := time.Now(), streamResult{id: id}
	f.record.note("client: %s sent to gateway-%d", id, gateway+1)
	response, err := streamClient.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		response.Body.Close()
		result.status, result.text, result.complete = response.StatusCode, string(body), err == nil
	}
	result.err, result.took = err, time.Since(sentAt)
	f.record.note("client: %s from gateway-%d: status %d, complete %v, %d bytes, %v, after %v", id, gateway+1, result.status, result.complete, len(result.text), err, result.took.Round(time.Millisecond))
	return result
}

// playStop stops each gateway in order while it passes streams on. The workers break nothing off:
// they are silent for a moment in the middle of a stream, and then full.
func playStop(called context.Context, f *fleet, trouble bool) (bool, error) {
	if err := f.start(); err != nil {
		return false, err
	}
	e := newEngine(f)
	e.slots, e.queue, e.events, e.step = 4, 2, 15, 20*time.Millisecond
	for i := range 3 {
		w, err := f.newWorker(i, "huvo11a", e.slots, e.serve)
		if err != nil {
			return false, err
		}
		defer w.end()
	}
	if err := f.configure(1, streamConfiguration(), 20*time.Second); err != nil {
		return false, err
	}
	if err := f.awaitReady(called); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	lost := 0
	for gateway := range 3 {
		lost += stopRound(called, f, e, gateway, trouble)
		time.Sleep(5 * time.Second)
	}
	f.record.note("%d streams lost around planned work; the rule allows none", lost)
	return lost > 0, nil
}

// stopRound plays one stop and gives the streams that were lost by it.
func stopRound(called context.Context, f *fleet, e *engine, gateway int, trouble bool) int {
	e.lock.Lock()
	e.pauseAt, e.pause = 0, 0
	if trouble {
		e.pauseAt, e.pause = 5, 1300*time.Millisecond
	}
	e.lock.Unlock()
	var group sync.WaitGroup
	results := make([]streamResult, 6)
	for n := range results {
		group.Add(1)
		go func() {
			defer group.Done()
			results[n] = askStream(called, f, gateway, fmt.Sprintf("9c41d07be2a3%d%03x", gateway, n))
		}()
	}
	p := f.named(fmt.Sprintf("gateway-%d", gateway+1))
	if trouble {
		time.Sleep(50 * time.Millisecond)
		f.record.note("gateway-%d gets SIGTERM", gateway+1)
		p.signal(syscall.SIGTERM)
	}
	// Meanwhile many others ask, at the other gateways, so that the workers are full.
	time.Sleep(800 * time.Millisecond)
	for n := range 24 {
		group.Add(1)
		go func() {
			defer group.Done()
			askStream(called, f, (gateway+1+n%2)%3, fmt.Sprintf("5b0f33c1a7d2%d%03x", gateway, n))
		}()
	}
	group.Wait()
	lost := 0
	for _, result := range results {
		if result.status == http.StatusOK && result.complete && result.text != e.whole(result.id) {
			f.record.note("client: %s is not whole", result.id)
		}
		if result.complete || result.took >= 5*time.Second {
			continue
		}
		// The connection ended without a complete answer, before the deadline and the route's
		// timeout: it counts where no worker broke it off. The check is the same without trouble.
		broke := false
		e.lock.Lock()
		for _, run := range e.runs[result.id] {
			broke = broke || (!run.complete && !run.closedByCaller)
		}
		ran := len(e.runs[result.id]) > 0
		e.lock.Unlock()
		if ran && !broke {
			lost++
			f.record.note("LOST: %s had been passed on to a worker, which did not break it off", result.id)
		}
	}
	if trouble {
		select {
		case <-p.ended:
		case <-time.After(8 * time.Second):
			p.kill()
		}
		f.record.note("gateway-%d starts again", gateway+1)
		if err := p.run(); err != nil {
			f.record.note("gateway-%d: %v", gateway+1, err)
		}
	}
	return lost
}
