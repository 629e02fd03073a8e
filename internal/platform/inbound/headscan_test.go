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

// TestHeadScanAtEverySplit feeds each head in two parts, split at every byte, and expects the same
// result: the way a head is divided into reads must not change how it is parsed.
func TestHeadScanAtEverySplit(t *testing.T) {
	for _, test := range []struct {
		head, body string
		lines      int64
		ambiguous  bool
	}{
		{"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n", "abc", 3, false},
		{"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n", 4, true},
		{"POST /a HTTP/1.1\ntransfer-encoding: chunked\nCONTENT-LENGTH:3\n\n", "", 3, true},
		{"\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", "", 2, false},
		// The header names are ignored in a body and in the value of another header.
		{"POST /a HTTP/1.1\r\nContent-Length: 30\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n", 2, false},
		{"POST /a HTTP/1.1\r\nX: Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "", 3, false},
	} {
		text := test.head + test.body
		for cut := range text {
			scan := headScan{}
			scan.feed([]byte(text[:cut]))
			scan.feed([]byte(text[cut:]))
			if !scan.complete || scan.bytes != int64(len(test.head)) || scan.lines != test.lines || scan.ambiguous() != test.ambiguous {
				t.Fatalf("%q split at %d: got scan %+v, want complete, %d bytes, %d lines, ambiguous %t",
					text, cut, scan, len(test.head), test.lines, test.ambiguous)
			}
		}
	}
}

// TestAmbiguousRequestsAreRejected guards against request smuggling: a request that has both
// Content-Length and Transfer-Encoding is rejected, and bytes that follow it on the connection are not
// executed as another request (RFC 9112, 6.1).
func TestAmbiguousRequestsAreRejected(t *testing.T) {
	listener, _ := serve(t, 0, 1<<20)
	inner := "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
	ambiguous := "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner
	ambiguous = fmt.Sprintf(ambiguous, len("0\r\n\r\n")+len(inner))
	valid := "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
	for name, test := range map[string]struct {
		text string
		want string
	}{
		"alone":                 {ambiguous, "[400]"},
		"after a valid one":     {inner + ambiguous, "[200 200]"},
		"after a chunked one":   {valid + ambiguous, "[200 200]"},
		"valid ones, pipelined": {inner + inner + inner, "[200 200 200]"},
	} {
		c := dial(t, listener)
		c.send("%s", test.text)
		_ = c.Conn.(interface{ CloseWrite() error }).CloseWrite()
		responses, err := io.ReadAll(c.reader)
		if err != nil {
			t.Errorf("%s: read responses: %v", name, err)
		}
		if got := fmt.Sprint(statuses(responses)); got != test.want {
			t.Errorf("%s: got statuses %s, want %s", name, got, test.want)
		}
	}
}

// statuses parses the responses received on a connection and returns their status codes.
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

// TestChunkedRequestsOnKeptConnection checks that the head of each chunked request on a keep-alive
// connection is scanned completely; otherwise the server would close the connection.
func TestChunkedRequestsOnKeptConnection(t *testing.T) {
	listener, _ := serve(t, 0, 1<<20)
	c := dial(t, listener)
	for range 200 {
		c.send("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
		checkLength(t, c, 3)
	}
}

// TestHeadLimitChangeAppliesToOpenConnections checks that a raised or lowered head limit applies from the
// next head on, also on open connections. A head may exceed the limit by constants.HeadSlack.
func TestHeadLimitChangeAppliesToOpenConnections(t *testing.T) {
	listener, _ := serve(t, 0, 1<<20)
	c := dial(t, listener)
	statusFor := func(length int) int {
		c.send("GET / HTTP/1.1\r\nHost: h\r\nX-Long: %s\r\n\r\n", strings.Repeat("x", length))
		return c.status()
	}
	listener.SetHeadLimit(8 << 10)
	if status := statusFor(8 << 10); status != http.StatusOK {
		t.Errorf("head of just over the limit of 8 KiB, within HeadSlack: got status %d, want 200", status)
	}
	listener.SetHeadLimit(32 << 10)
	if status := statusFor(30 << 10); status != http.StatusOK {
		t.Errorf("head of 30 KiB at the raised limit of 32 KiB: got status %d, want 200", status)
	}
	listener.SetHeadLimit(8 << 10)
	if status := statusFor(30 << 10); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("head of 30 KiB at the lowered limit of 8 KiB: got status %d, want 431", status)
	}
}
