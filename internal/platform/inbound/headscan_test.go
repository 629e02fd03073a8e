package inbound

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// However the bytes of a head are cut into reads, the same is seen.
func TestHeadsAreSeenAtEveryCut(t *testing.T) {
	for _, test := range []struct {
		head, body string
		lines      int64
		ambiguous  bool
	}{
		{"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n", "abc", 3, false},
		{"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n", 4, true},
		{"POST /a HTTP/1.1\ntransfer-encoding: chunked\nCONTENT-LENGTH:3\n\n", "", 3, true},
		{"\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", "", 2, false},
		// In a body, and in values, the names count for nothing.
		{"POST /a HTTP/1.1\r\nContent-Length: 30\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n", 2, false},
		{"POST /a HTTP/1.1\r\nX: Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "", 3, false},
	} {
		text := test.head + test.body
		for cut := range text {
			scan := headScan{}
			scan.feed([]byte(text[:cut]))
			scan.feed([]byte(text[cut:]))
			if !scan.complete || scan.bytes != int64(len(test.head)) || scan.lines != test.lines || scan.ambiguous() != test.ambiguous {
				t.Fatalf("%q cut at %d: %+v", text, cut, scan)
			}
		}
	}
}

// A request whose body's end is told in two ways is refused, and what follows it on the connection
// is not run (RFC 9112, 6.1).
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	listener, _ := serve(t, 0, 1<<20)
	inner := "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
	ambiguous := "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner
	ambiguous = fmt.Sprintf(ambiguous, len("0\r\n\r\n")+len(inner))
	sound := "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
	for name, sent := range map[string]struct {
		text string
		want string
	}{
		"alone":                 {ambiguous, "[400]"},
		"behind a sound one":    {inner + ambiguous, "[200 200]"},
		"behind a chunked one":  {sound + ambiguous, "[200 200]"},
		"sound ones, pipelined": {inner + inner + inner, "[200 200 200]"},
	} {
		c := dial(t, listener)
		c.send("%s", sent.text)
		_ = c.Conn.(interface{ CloseWrite() error }).CloseWrite()
		answers, err := io.ReadAll(c.reader)
		if err != nil {
			t.Error(name, err)
		}
		if got := fmt.Sprint(statuses(answers)); got != sent.want {
			t.Errorf("%s: %s, not %s", name, got, sent.want)
		}
	}
}

// statuses lists the answers on a connection.
func statuses(text []byte) []int {
	var list []int
	reader := bufio.NewReader(bytes.NewReader(text))
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return list
		}
		list = append(list, resp.StatusCode)
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

// A chunked request after another on a kept connection is seen whole, and the connection goes on.
func TestKeptConnectionsGoOn(t *testing.T) {
	listener, _ := serve(t, 0, 1<<20)
	c := dial(t, listener)
	for range 200 {
		c.send("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
		checkLength(t, c, 3)
	}
}

// A limit of heads holds from the next head on, longer or shorter, on kept connections too.
func TestHeadLimitIsFollowed(t *testing.T) {
	listener, _ := serve(t, 0, 1<<20)
	c := dial(t, listener)
	statusFor := func(length int) int {
		c.send("GET / HTTP/1.1\r\nHost: h\r\nX-Long: %s\r\n\r\n", strings.Repeat("x", length))
		return c.status()
	}
	listener.SetHeadLimit(8 << 10)
	if status := statusFor(8 << 10); status != http.StatusOK {
		t.Error("a head inside the limit: ", status)
	}
	listener.SetHeadLimit(32 << 10)
	if status := statusFor(30 << 10); status != http.StatusOK {
		t.Error("a head inside the raised limit: ", status)
	}
	listener.SetHeadLimit(8 << 10)
	if status := statusFor(30 << 10); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Error("a head over the lowered limit: ", status)
	}
}
