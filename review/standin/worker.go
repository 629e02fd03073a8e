package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// worker is one stand-in of a worker: it registers by heartbeats and serves connections.
type worker struct {
	fleet    *fleet
	id       string
	backend  string
	address  string
	zone     string
	capacity int
	phase    atomic.Value
	count    atomic.Int64
	listener net.Listener
	quit     chan struct{}
}

// newWorker begins to listen; handler serves its requests.
func (f *fleet) newWorker(i int, backend string, capacity int, serve func(w *worker, connection net.Conn)) (*worker, error) {
	w := &worker{fleet: f, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+i), backend: backend, capacity: capacity,
		address: net.JoinHostPort(f.host(i), fmt.Sprint(workerPort)), zone: zones[i%len(zones)], quit: make(chan struct{})}
	w.phase.Store("steady")
	listener, err := net.Listen("tcp4", w.address)
	if err != nil {
		return nil, fmt.Errorf("%v: %w", err, errCannotRun)
	}
	w.listener = listener
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(w, connection)
		}
	}()
	go w.beat()
	return w, nil
}

var beatClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// beat sends heartbeats until the worker ends.
func (w *worker) beat() {
	for turn := 0; ; {
		if w.call(turn, "Heartbeat") {
			select {
			case <-w.quit:
				return
			case <-time.After(1200 * time.Millisecond):
			}
			continue
		}
		turn++
		select {
		case <-w.quit:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// call makes one call of a worker and tells whether it was acknowledged.
func (w *worker) call(turn int, verb string) bool {
	body, _ := json.Marshal(map[string]any{"backend": w.backend, "address": w.address, "zone": w.zone, "generation": "v1",
		"capacity": w.capacity, "phase": w.phase.Load(), "warmup-left-ms": 0, "stage": "both",
		"models": []any{map[string]any{"name": "m", "generation": 1, "adapters": []any{}}}, "call-count": w.count.Add(1)})
	response, err := beatClient.Post("http://"+w.fleet.control(turn%3)+"/-/Workers."+verb+"/"+w.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode/100 == 2
}

// end stops the worker without a word.
func (w *worker) end() {
	close(w.quit)
	w.listener.Close()
}
