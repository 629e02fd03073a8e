package inbound

import (
	"net/http"
	"strings"
	"testing"
)

// However the bytes of a head are cut into reads, the same is seen.
func TestHeadsAreSeenAtEveryCut(t *testing.T) {
	for _, found := range []struct {
		head, body string
		lines      int64
	}{
		{"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n", "abc", 3},
		{"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n", 4},
		{"POST /a HTTP/1.1\ntransfer-encoding: chunked\nCONTENT-LENGTH:3\n\n", "", 3},
		{"\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", "", 2},
		{"POST /a HTTP/1.1\r\nContent-Length: 30\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n", 2},
		{"POST /a HTTP/1.1\r\nX: Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "", 3},
	} {
		text := found.head + found.body
		for cut := range text {
			scan := headScan{}
			scan.feed([]byte(text[:cut]))
			scan.feed([]byte(text[cut:]))
			if !scan.whole || scan.bytes != int64(len(found.head)) || scan.lines != found.lines {
				t.Fatalf("%q cut at %d: %+v", text, cut, scan)
			}
		}
	}
}

// A limit of heads holds from the next head on, longer or shorter, on kept connections too.
func TestHeadLimitIsFollowed(t *testing.T) {
	listener, _ := serve(t, 0, 1<<20)
	c := dial(t, listener)
	ask := func(length int) int {
		c.send("GET / HTTP/1.1\r\nHost: h\r\nX-Long: %s\r\n\r\n", strings.Repeat("x", length))
		return c.status()
	}
	listener.SetHeadLimit(8 << 10)
	if status := ask(8 << 10); status != http.StatusOK {
		t.Error("a head inside the limit: ", status)
	}
	listener.SetHeadLimit(32 << 10)
	if status := ask(30 << 10); status != http.StatusOK {
		t.Error("a head inside the raised limit: ", status)
	}
	listener.SetHeadLimit(8 << 10)
	if status := ask(30 << 10); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Error("a head over the lowered limit: ", status)
	}
}
