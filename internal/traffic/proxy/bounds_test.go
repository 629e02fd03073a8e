package proxy

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"testing"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
)

// failures are the ways in which a worker fails to send a complete success.
var failures = map[string]string{
	"cut":         "HTTP/1.1 200 OK\r\n",
	"failed":      "HTTP/1.1 500 No\r\nLemonarch-Server-Seal: failed\r\nContent-Length: 0\r\n\r\n",
	"turned away": "HTTP/1.1 503 No\r\nLemonarch-Server-Seal: away\r\nLemonarch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"misdirected": "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n",
	"garbled":     "no answer at all\r\n\r\n",
	"nothing":     "",
}

// Workers fail in random combinations. A client's request must not reach more of them than its route
// allows attempts ("tries", 3 here), and an error response with a worker's seal must have that worker's
// status.
func TestAttemptLimitBoundsWorkersReached(t *testing.T) {
	var names []string
	for name := range failures {
		names = append(names, name)
	}
	for seed := range int64(24) {
		random := rand.New(rand.NewSource(seed))
		for _, path := range []string{"/safe/x", "/stream/x", "/once/x", "/rigid/x"} {
			var workers []*workerStub
			chosen := ""
			for i := range 5 {
				name := names[random.Intn(len(names))]
				chosen += " " + name
				workers = append(workers, newWorkerStub(t, fmt.Sprint("w", i), func(_ int, _ *http.Request, connection net.Conn) {
					write(connection, failures[name])
					connection.Close()
				}))
			}
			server, _ := newProxyServer(t, workers...)
			resp, _, err := sendRequest(t, server, path, nil)
			reached := 0
			for _, worker := range workers {
				reached += min(worker.requestCount(), 1)
			}
			if reached > 3 {
				t.Errorf("%s%s: request reached %d workers, want at most 3", path, chosen, reached)
			}
			if err != nil {
				continue
			}
			seals := map[string]int{"failed": http.StatusInternalServerError, "away": http.StatusServiceUnavailable}
			if status, sealed := seals[resp.Header.Get(headerSeal)]; sealed && status != resp.StatusCode {
				t.Errorf("%s%s: got status %d with the seal %q, want %d", path, chosen, resp.StatusCode, resp.Header.Get(headerSeal), status)
			}
		}
	}
}

// Workers stop sending after 0 to 95 % of a response, with the connection open. The request must end within
// its route's cutoff and a quarter of a second.
func TestEveryWaitEndsWithTheCutoff(t *testing.T) {
	for _, path := range []string{"/safe/x", "/stream/x", "/once/x", "/rigid/x"} {
		for _, share := range []int{0, 20, 60, 95} {
			t.Run(fmt.Sprint(path, share), func(t *testing.T) {
				t.Parallel()
				wait := make(chan struct{})
				t.Cleanup(func() { close(wait) })
				script := func(_ int, request *http.Request, connection net.Conn) {
					text := streamHead(request) + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n"
					if !strings.HasPrefix(path, "/stream") && !strings.HasPrefix(path, "/rigid") {
						text = success(request, "done")
					}
					write(connection, text[:len(text)*share/100])
					<-wait
				}
				server, proxy := newProxyServer(t, newWorkerStub(t, "w1", script), newWorkerStub(t, "w2", script), newWorkerStub(t, "w3", script))
				setShortCutoffs(t, proxy)
				// A stall of the machine may delay any request, so the test fails only if all attempts are late.
				const cutoffMs, attempts = 300, 3
				for attempt := 1; ; attempt++ {
					started := clock.Now()
					_, _, _ = sendRequest(t, server, path, map[string]string{headerAttempt: fmt.Sprint("try-", attempt)})
					took := clock.Now().Sub(started)
					if took < clock.Milliseconds(cutoffMs+250) {
						break
					}
					if attempt == attempts {
						t.Fatalf("request took %v, want less than %d ms in one of %d attempts", took, cutoffMs+250, attempts)
					}
				}
			})
		}
	}
}

// setShortCutoffs applies a newer configuration in which each route has a cutoff of 300 ms.
func setShortCutoffs(t *testing.T, proxy *Proxy) {
	t.Helper()

	text := strings.Replace(testConfig, `"generation":1`, `"generation":2`, 1)
	for _, cutoff := range []string{"3000", "700", "4000", "2000"} {
		text = strings.Replace(text, `"cutoff-ms":`+cutoff, `"cutoff-ms":300`, 1)
	}
	setConfig(t, proxy, text)
}

// setConfig applies a configuration, which must be newer than the current one.
func setConfig(t *testing.T, proxy *Proxy, text string) {
	t.Helper()

	config, err := routeconfig.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if !proxy.SetConfig(config) {
		t.Fatal("the configuration was not applied")
	}
}

// A configuration that removes the routes and the service must not truncate the requests in flight.
func TestConfigurationChangeKeepsRunningRequests(t *testing.T) {
	for _, path := range []string{"/safe/x", "/stream/x", "/once/x", "/rigid/x"} {
		inFlight, complete := make(chan struct{}), make(chan struct{})
		worker := newWorkerStub(t, "w1", func(_ int, request *http.Request, connection net.Conn) {
			if strings.HasPrefix(path, "/stream") || strings.HasPrefix(path, "/rigid") {
				write(connection, streamHead(request)+chunk(event(1)))
				close(inFlight)
				<-complete
				write(connection, chunk(event(2))+"0\r\n\r\n")
				return
			}
			close(inFlight)
			<-complete
			write(connection, success(request, "for attempt-1"))
		})
		server, proxy := newProxyServer(t, worker)
		ended := make(chan error, 1)
		go func() {
			resp, body, err := sendRequest(t, server, path, nil)
			if err == nil && (resp.StatusCode != 200 || body != completeResponse(path, "attempt-1")) {
				err = fmt.Errorf("%d %q", resp.StatusCode, body)
			}
			ended <- err
		}()
		<-inFlight
		setConfig(t, proxy, `{"generation":9,"channels":[],"backends":[],"limits":{"max-header-bytes":8192,"max-body-bytes":1000,"header-wait-ms":30,"idle-ms":50}}`)
		close(complete)
		if err := <-ended; err != nil {
			t.Errorf("%s: got %v, want status 200 and the complete response", path, err)
		}
	}
}
