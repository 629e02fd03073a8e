//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// operator sends configurations, and sends each again unchanged until it has a clear answer.
type operator struct {
	fleet  *fleet
	client *http.Client
}

func newOperator(f *fleet) *operator {
	return &operator{fleet: f, client: &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// replace sends a configuration until it is acknowledged or refused.
func (o *operator) replace(generation, base int, configuration map[string]any, timeout time.Duration) error {
	configuration["generation"] = generation
	body, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	last := "no answer"
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, address := range o.fleet.controls() {
			request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/-/Configuration.Replace", bytes.NewReader(body))
			request.Header.Set("Content-Type", "application/json")
			request.Header.Set("Lemonarch-Base-Revision", strconv.Itoa(base))
			response, err := o.client.Do(request)
			if err != nil {
				last = err.Error()
				continue
			}
			text, _ := io.ReadAll(response.Body)
			response.Body.Close()
			last = response.Status + " " + string(text)
			if response.StatusCode == http.StatusOK {
				o.fleet.record.add("operator: configuration %d acknowledged by %s", generation, address)
				return nil
			}
			if response.StatusCode < 500 {
				return errors.New("configuration refused: " + last)
			}
		}
	}
	return errors.New("configuration not acknowledged: " + last)
}

// run is one request that a worker ran.
type run struct {
	attempt, path string
	at            time.Time
}

// worker is a stand-in for a worker. serve answers a request that the worker runs.
type worker struct {
	id, backend, address, zone string
	capacity                   int
	fleet                      *fleet
	serve                      func(w *worker, writer http.ResponseWriter, request *http.Request, body []byte)
	server                     *http.Server
	calls                      atomic.Int64
	stop                       chan struct{}
	lock                       sync.Mutex
	runs                       []run
	active                     atomic.Int64
	broken                     atomic.Int64 // answers whose connection was closed by the system before the last event
}

// startWorker starts a worker and its heartbeats.
func startWorker(f *fleet, id, backend, address, zone string, capacity int, serve func(w *worker, writer http.ResponseWriter, request *http.Request, body []byte)) (*worker, error) {
	w := &worker{id: id, backend: backend, address: address, zone: zone, capacity: capacity, fleet: f, serve: serve, stop: make(chan struct{})}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle)}
	go func() { _ = w.server.Serve(listener) }()
	go w.beat()
	return w, nil
}

func (w *worker) handle(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" {
		writer.Header().Set("Lemonarch-Worker-Id", w.id)
		writer.WriteHeader(http.StatusOK)
		return
	}
	body, _ := io.ReadAll(request.Body)
	attempt := request.Header.Get("Lemonarch-Attempt-Id")
	writer.Header().Set("Lemonarch-Attempt-Id", attempt)
	writer.Header().Set("Lemonarch-Worker-Load", fmt.Sprintf("%d,0,%d", w.active.Load(), w.capacity))
	switch target := request.Header.Get("Lemonarch-Target-Worker"); {
	case target != "" && target != w.id:
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	case attempt == "":
		writer.Header().Set("Lemonarch-Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	w.active.Add(1)
	defer w.active.Add(-1)
	w.lock.Lock()
	w.runs = append(w.runs, run{attempt, request.URL.RequestURI(), time.Now()})
	w.lock.Unlock()
	writer.Header().Set("Lemonarch-Server-Seal", w.id+".seal."+attempt)
	w.serve(w, writer, request, body)
}

// beat sends a heartbeat each 1.2 s until the worker is closed.
func (w *worker) beat() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	next := 0
	for {
		body, _ := json.Marshal(map[string]any{"backend": w.backend, "address": w.address, "zone": w.zone, "generation": "v1", "capacity": w.capacity,
			"phase": "steady", "warmup-left-ms": 0, "stage": "both", "models": []map[string]any{{"name": "m", "generation": 1, "adapters": []string{}}}, "call-count": w.calls.Add(1)})
		controls := w.fleet.controls()
		acknowledged := false
		for try := 0; try < len(controls) && !acknowledged; try++ {
			response, err := client.Post("http://"+controls[next%len(controls)]+"/-/Workers.Heartbeat/"+w.id, "application/json", bytes.NewReader(body))
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
				acknowledged = response.StatusCode/100 == 2
			}
			if !acknowledged {
				next++
			}
		}
		pause := 1200 * time.Millisecond
		if !acknowledged {
			pause = 200 * time.Millisecond
		}
		select {
		case <-w.stop:
			return
		case <-time.After(pause):
		}
	}
}

func (w *worker) close() {
	close(w.stop)
	_ = w.server.Close()
}

// ran returns the runs so far.
func (w *worker) ran() []run {
	w.lock.Lock()
	defer w.lock.Unlock()
	return append([]run(nil), w.runs...)
}

// writeEvents answers with a stream of events from the id after Last-Event-Id on, with a pause before each.
func writeEvents(writer http.ResponseWriter, request *http.Request, count int, pause time.Duration, data func(id int) string) {
	first := 1
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Lemonarch-Weight-Versions", "1")
	writer.WriteHeader(http.StatusOK)
	flusher, _ := writer.(http.Flusher)
	for id := first; id <= count; id++ {
		if pause > 0 {
			select {
			case <-time.After(pause):
			case <-request.Context().Done():
				return
			}
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", id, data(id)); err != nil {
			return
		}
		if flusher != nil && pause > 0 {
			flusher.Flush()
		}
	}
}

// awaitReady waits until every gateway calls itself ready, as the platform asks.
func (f *fleet) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, p := range f.of("gateway") {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", p.machine.ip, portReadiness))
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.of("gateway")) {
			f.record.add("platform: all gateways are ready")
			return nil
		}
	}
	return errors.New("the gateways are not ready")
}

// lotCall makes one call about a lot on a new connection.
func lotCall(address, method, path, host string, header map[string]string, body []byte, timeout time.Duration) (status int, text []byte, err error) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = host
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err = io.ReadAll(response.Body)
	return response.StatusCode, text, err
}
