//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	testHost = "review.example"
	graceS   = 8
)

// smallConfiguration is a configuration like that of the small deployment: a stream route and a route for lots.
func smallConfiguration() map[string]any {
	return map[string]any{
		"channels": []map[string]any{
			{"name": "r-stream", "host": testHost, "path-prefix": "/kiosk/", "route-kind": "streaming", "cutoff-ms": 6000, "setpoint-ms": 200, "priority": 0,
				"backend": "sprachdienst", "tries": 2, "affine": true, "resumable": true, "gap-setpoint-ms": 250},
			{"name": "r-lots", "host": testHost, "path-prefix": "/triage/", "route-kind": "bulk", "cutoff-ms": 8000, "setpoint-ms": 400, "priority": 2,
				"backend": "sprachdienst", "tries": 3, "affine": true, "resumable": true, "gap-setpoint-ms": 250, "result-setpoint-ms": 10000, "retain-s": 40, "backlog-cap": 1400000},
		},
		"backends": []map[string]any{{"name": "sprachdienst", "probe": "/health", "conn-limit": 220, "protocol": "h1", "tls": false,
			"engine": map[string]any{"capacity": 24, "cache-tokens": 400843, "cache-bytes": 327680, "bandwidth-mbps": 2200000.0, "stride": 16, "models": []map[string]any{{"name": "m"}}}}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-wait-ms": 3000, "idle-ms": 15000},
	}
}

// streamRequest writes a request for a stream on a connection.
func streamRequest(connection net.Conn, attempt string) error {
	body := strings.Repeat("x", 1400)
	_, err := fmt.Fprintf(connection, "POST /kiosk/2f HTTP/1.1\r\nHost: %s\r\nLemonarch-Attempt-Id: %s\r\nLemonarch-Model: m\r\nLemonarch-Token-Count: 715,400\r\n"+
		"Lemonarch-Prompt-Prefix: 5c1e07a2:103,91bd3f06:69,%s:543\r\nLemonarch-Time-Left-Ms: 6000\r\nContent-Length: %d\r\n\r\n%s",
		testHost, attempt, attempt[:8], len(body), body)
	return err
}

// streamAnswer reads an answer and returns how many events came, and whether it was complete.
func streamAnswer(reader *bufio.Reader) (status, events int, closes, complete bool, err error) {
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, 0, true, false, err
	}
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, strings.Count(string(text), "\n\n"), response.Close, err == nil, err
}

// startSmall starts a small deployment with its first configuration and workers.
func startSmall(r *record, stores, workers, capacity int, serve func(w *worker, writer http.ResponseWriter, request *http.Request, body []byte)) (*fleet, []*worker, error) {
	f, err := newFleet(r, 3, 0, stores)
	if err != nil {
		return nil, nil, err
	}
	if err = f.startAll(); err != nil {
		return f, nil, err
	}
	if err = newOperator(f).replace(1, 0, smallConfiguration(), 20*time.Second); err != nil {
		return f, nil, err
	}
	var list []*worker
	for i := 0; i < workers; i++ {
		w, err := startWorker(f, fmt.Sprintf("i-7f3a91c%d", i), "sprachdienst", fmt.Sprintf("%s.%d:8080", f.network, 101+i), f.zones[i%3], capacity, serve)
		if err != nil {
			return f, list, err
		}
		list = append(list, w)
	}
	if err = f.awaitReady(20 * time.Second); err != nil {
		return f, list, err
	}
	time.Sleep(4 * time.Second) // all machines are in touch, and the traffic starts
	return f, list, nil
}

// playDrain stops one machine with SIGTERM while a client, which keeps its connection, reads a stream, and
// sends its next request on that connection as soon as the first answer is complete.
func playDrain(r *record, trouble bool) (broken string, err error) {
	const events, pause = 25, 200 * time.Millisecond
	f, workers, err := startSmall(r, 3, 3, 24, func(_ *worker, writer http.ResponseWriter, request *http.Request, _ []byte) {
		writeEvents(writer, request, events, pause, func(id int) string { return fmt.Sprintf("piece %d", id) })
	})
	if f != nil {
		defer f.stopAll()
	}
	if err != nil {
		return "", err
	}
	machine := f.machines[1]
	connection, err := net.Dial("tcp4", machine.ingress())
	if err != nil {
		return "", err
	}
	defer connection.Close()
	reader := bufio.NewReader(connection)
	if err = streamRequest(connection, "9c41d07be2a35f01"); err != nil {
		return "", err
	}
	r.add("client: request 9c41d07be2a35f01 sent to %s", machine.name)
	time.Sleep(time.Second)
	terminated := time.Now()
	if trouble {
		for _, p := range machine.processes {
			p.signal(syscall.SIGTERM)
		}
		go func() {
			time.Sleep(graceS * time.Second)
			for _, p := range machine.processes {
				if p.running() {
					p.signal(syscall.SIGKILL)
				}
			}
		}()
	}
	status, count, closes, complete, err := streamAnswer(reader)
	r.add("client: answer to 9c41d07be2a35f01: status %d, %d of %d events, complete %v, Connection: close %v", status, count, events, complete, closes)
	if err != nil || !complete || count != events {
		return "", errors.New("the first stream was not answered")
	}
	if closes {
		return "", nil
	}
	sent := time.Now()
	if err = streamRequest(connection, "9c41d07be2a35f02"); err != nil {
		r.add("client: the connection was closed before the next request: %v", err)
		return "", nil
	}
	r.add("client: request 9c41d07be2a35f02 sent on the same connection, %.3f s after the SIGTERM", sent.Sub(terminated).Seconds())
	status, count, _, complete, err = streamAnswer(reader)
	ended := time.Now()
	r.add("client: answer to 9c41d07be2a35f02: status %d, %d of %d events, complete %v, error %v", status, count, events, complete, err)
	ran := false
	for _, w := range workers {
		for _, one := range w.ran() {
			r.add("worker %s: ran %s %s, %.3f s after the SIGTERM", w.id, one.attempt, one.path, one.at.Sub(terminated).Seconds())
			ran = ran || one.attempt == "9c41d07be2a35f02"
		}
	}
	if complete && (status != http.StatusOK || count == events) {
		return "", nil
	}
	if !ran {
		return "", nil
	}
	late := ended.Sub(sent) >= 6*time.Second
	within := ended.Sub(terminated) <= (graceS+1)*time.Second
	if late || !within {
		return "", nil
	}
	return fmt.Sprintf("LOST: the request was read and passed on to a worker, and its connection ended %.3f s after the SIGTERM and %.3f s after the request, after %d of %d events",
		ended.Sub(terminated).Seconds(), ended.Sub(sent).Seconds(), count, events), nil
}
