package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// plainRoute is a route of a service of plain requests.
func plainRoute(name, kind string) map[string]any {
	return map[string]any{"name": name, "host": "ficu95.example", "path-prefix": "/" + name + "/", "route-kind": kind, "cutoff-ms": 4000,
		"setpoint-ms": 300, "priority": 0, "backend": "wuno96b", "tries": 1, "affine": false, "resumable": false}
}

func plainConfiguration(kind string, headerBytes int) map[string]any {
	return map[string]any{
		"channels": []any{plainRoute("puxa403", kind)},
		"backends": []any{map[string]any{"name": "wuno96b", "probe": "/health", "conn-limit": 130, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": headerBytes, "max-body-bytes": 4194304, "header-wait-ms": 3000, "idle-ms": 15000},
	}
}

// serveSound answers every request as a sound worker does.
func serveSound(w *worker, connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReaderSize(connection, 1<<20)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Lemonarch-Attempt-Id")
		w.fleet.record.note("worker %s runs %s", w.id, id)
		body := "answer to " + id
		fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nLemonarch-Attempt-Id: %s\r\nLemonarch-Server-Seal: seal.%s.%s\r\nContent-Length: %d\r\n\r\n%s", id, w.id, id, len(body), body)
	}
}

// playHeaders raises max-header-bytes by a configuration and then sends heads that it allows.
func playHeaders(called context.Context, f *fleet, trouble bool) (bool, error) {
	if err := f.start(); err != nil {
		return false, err
	}
	for i := range 3 {
		w, err := f.newWorker(i, "wuno96b", 6, serveSound)
		if err != nil {
			return false, err
		}
		defer w.end()
	}
	first := 16384
	if !trouble {
		first = 131072
	}
	if err := f.configure(1, plainConfiguration("idempotent", first), 20*time.Second); err != nil {
		return false, err
	}
	if err := f.awaitReady(called); err != nil {
		return false, err
	}
	if trouble {
		if err := f.configure(2, plainConfiguration("idempotent", 131072), 10*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(6 * time.Second)
	denied, served := 0, 0
	for n := range 60 {
		id := fmt.Sprintf("9c41d07b%08x", n)
		request, _ := http.NewRequestWithContext(called, http.MethodPost, "http://"+f.ingress(n%3)+"/puxa403/2f", strings.NewReader("posting"))
		request.Host = "ficu95.example"
		request.Header.Set("Lemonarch-Attempt-Id", id)
		request.Header.Set("Lemonarch-Time-Left-Ms", "4000")
		request.Header.Set("Lemonarch-Prompt-Prefix", strings.Repeat("5c1e07a2:800,", 100*1024/13))
		response, err := operatorClient.Do(request)
		if err != nil {
			f.record.note("client: %s to %s: %v", id, f.ingress(n%3), err)
			continue
		}
		body, _ := io.ReadAll(response.Body)
		response.Body.Close()
		f.record.note("client: %s to %s: %d %q", id, f.ingress(n%3), response.StatusCode, body)
		if response.StatusCode/100 == 4 {
			denied++
		}
		if response.StatusCode == http.StatusOK {
			served++
		}
	}
	f.record.note("%d of 60 proper requests denied, %d served; the rule allows 5 and one in 500", denied, served)
	return denied > 5, nil
}
