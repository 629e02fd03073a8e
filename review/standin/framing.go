package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// ranIDs are the ids of the requests that workers ran.
type ranIDs struct {
	lock sync.Mutex
	ids  map[string]int
}

// serve answers every request as a sound worker does, and notes that it ran.
func (r *ranIDs) serve(w *worker, connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReaderSize(connection, 1<<16)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get("Lemonarch-Attempt-Id")
		r.lock.Lock()
		r.ids[id]++
		r.lock.Unlock()
		w.fleet.record.note("worker %s runs %s with a body of %d bytes", w.id, id, len(body))
		answer := "answer to " + id
		if _, err = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nLemonarch-Attempt-Id: %s\r\nLemonarch-Server-Seal: seal.%s.%s\r\nContent-Length: %d\r\n\r\n%s", id, w.id, id, len(answer), answer); err != nil {
			return
		}
	}
}

// playFraming sends requests whose body holds the text of another one.
func playFraming(called context.Context, f *fleet, trouble bool) (bool, error) {
	if err := f.start(); err != nil {
		return false, err
	}
	ran := &ranIDs{ids: map[string]int{}}
	for i := range 3 {
		w, err := f.newWorker(i, "wuno96b", 6, ran.serve)
		if err != nil {
			return false, err
		}
		defer w.end()
	}
	if err := f.configure(1, plainConfiguration("effectful", 16384), 20*time.Second); err != nil {
		return false, err
	}
	if err := f.awaitReady(called); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	const plays = 30
	for n := range plays {
		if err := f.sendNested(n%3, fmt.Sprintf("9c41d07b%08x", n), fmt.Sprintf("5b0f33c1%08x", n), trouble); err != nil {
			f.record.note("client: %v", err)
		}
	}
	time.Sleep(2 * time.Second)
	ran.lock.Lock()
	defer ran.lock.Unlock()
	smuggled, sent := 0, 0
	for n := range plays {
		smuggled += ran.ids[fmt.Sprintf("5b0f33c1%08x", n)]
		sent += ran.ids[fmt.Sprintf("9c41d07b%08x", n)]
	}
	f.record.note("%d requests sent, %d of them run; %d run that were smuggled inside them; the rule allows none", plays, sent, smuggled)
	return smuggled > 0, nil
}

// sendNested sends one request on a connection of its own. Its Content-Length covers all that
// follows its head: by it there is one request, whose body holds the text of another. The trouble is
// a Transfer-Encoding beside it.
func (f *fleet) sendNested(gateway int, id, inner string, trouble bool) error {
	connection, err := net.DialTimeout("tcp4", f.ingress(gateway), time.Second)
	if err != nil {
		return err
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(3 * time.Second))
	body := "0\r\n\r\nPOST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nLemonarch-Attempt-Id: " + inner + "\r\nContent-Length: 7\r\n\r\nposting"
	coding := ""
	if trouble {
		coding = "Transfer-Encoding: chunked\r\n"
	}
	f.record.note("client: %s sent to gateway-%d, %d bytes of body, which hold the text of %s", id, gateway+1, len(body), inner)
	if _, err = fmt.Fprintf(connection, "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nLemonarch-Attempt-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body), coding, body); err != nil {
		return err
	}
	reader := bufio.NewReader(connection)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		f.record.note("client: on the connection of %s: %d %q", id, response.StatusCode, text)
		_ = connection.SetDeadline(time.Now().Add(300 * time.Millisecond))
	}
}
