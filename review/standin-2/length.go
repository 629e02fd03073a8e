//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	lengthItems  = 10
	lengthEvents = 5
	completion   = 10 * time.Second
)

// writeWithoutLength answers with a stream that has no length and ends with its connection: all events, and then an
// ordinary end of the connection.
func writeWithoutLength(w *worker, writer http.ResponseWriter, request *http.Request, count int, data func(id int) string) {
	first := 1
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	hijacker, ok := writer.(http.Hijacker)
	if !ok {
		return
	}
	connection, buffer, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	_, _ = fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nLemonarch-Weight-Versions: 1\r\nConnection: close\r\n")
	for _, name := range []string{"Lemonarch-Attempt-Id", "Lemonarch-Server-Seal", "Lemonarch-Worker-Load"} {
		_, _ = fmt.Fprintf(buffer, "%s: %s\r\n", name, writer.Header().Get(name))
	}
	_, _ = fmt.Fprintf(buffer, "\r\n")
	for id := first; id <= count; id++ {
		_, _ = fmt.Fprintf(buffer, "id: %d\ndata: %s\n\n", id, data(id))
		if buffer.Flush() != nil {
			w.broken.Add(1)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// playLength hands in a lot whose items run at workers that answer without a length.
func playLength(r *record, trouble bool) (broken string, err error) {
	f, workers, err := startSmall(r, 3, 6, 24, func(w *worker, writer http.ResponseWriter, request *http.Request, _ []byte) {
		data := func(id int) string { return fmt.Sprintf("piece %d", id) }
		if trouble {
			writeWithoutLength(w, writer, request, lengthEvents, data)
			return
		}
		writeEvents(writer, request, lengthEvents, 20*time.Millisecond, data)
	})
	if f != nil {
		defer f.stopAll()
	}
	if err != nil {
		return "", err
	}
	id := "7c41e09b52d6a3f8"
	accepted := false
	for try := 0; try < 10 && !accepted; try++ {
		status, _, callErr := lotCall(f.ingress()[try%3], http.MethodPost, "/triage/"+id, testHost, map[string]string{"Lemonarch-Attempt-Id": id, "Content-Type": "application/json"}, lotBody(id, lengthItems, 700), 4*time.Second)
		r.add("client: lot %s of %d items handed in: status %d, error %v", id, lengthItems, status, callErr)
		accepted = status == http.StatusAccepted
	}
	if !accepted {
		return "", fmt.Errorf("the lot was not accepted")
	}
	// Nothing else is sent: the traffic has ended.
	time.Sleep(completion + time.Second)
	status, text, err := lotCall(f.ingress()[0], http.MethodGet, "/-/lots/"+id+"?page-cursor=0", testHost, nil, nil, 3*time.Second)
	if err != nil || status != http.StatusOK {
		return "", fmt.Errorf("the lot can't be read: status %d, error %v", status, err)
	}
	read := page{}
	if err = json.Unmarshal(text, &read); err != nil {
		return "", err
	}
	r.add("client: the lot was read: %d of %d items are listed", len(read.Outputs), read.Sum)
	runs := map[string]int{}
	for _, w := range workers {
		for _, one := range w.ran() {
			runs[one.attempt]++
		}
	}
	most, sum, ended := 0, 0, int64(0)
	for _, w := range workers {
		ended += w.broken.Load()
	}
	for _, count := range runs {
		most, sum = max(most, count), sum+count
	}
	r.add("workers: %d items ran, %d times in all, one of them %d times; %d of the runs were ended by the system before their last event", len(runs), sum, most, ended)
	if len(read.Outputs) < lengthItems {
		return fmt.Sprintf("LOST: %.0f s after the 202, and after completion-s, %d of %d items of the open lot are listed neither as settled nor as abandoned; the workers began to answer them %d times",
			(completion + time.Second).Seconds(), lengthItems-len(read.Outputs), lengthItems, sum), nil
	}
	return "", nil
}
