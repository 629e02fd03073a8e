package gateway

import (
	"net/http"
	"testing"

	"lemonarch/internal/platform/constants"
)

// A gateway that no longer accepts connections must not begin a request on a kept one either: it could
// not complete it before it exits. Responses that begin before or during the drain leave connections
// open in several ways, and the client sends its next request the moment the response is complete.
func TestDrainingGatewayBeginsNoRequestOnKeptConnections(t *testing.T) {
	d := newDrainingGateway(t, 12)
	stream, pipelined, upload, head, plain, poll := d.dial(), d.dial(), d.dial(), d.dial(), d.dial(), d.dial()
	stream.send(requestHead("POST", "/stream/1", "stream", 0))
	d.awaitRun("stream")
	pipelined.send(requestHead("POST", "/stream/2", "first", 0) + requestHead("POST", "/plain/2", "second", 0))
	d.awaitRun("first")
	upload.send(requestHead("POST", "/plain/3", "upload", 4) + "ab")
	head.send(requestHead("POST", "/plain/4", "head", 0)[:40])
	plain.send(requestHead("POST", "/plain/5", "plain", 0))
	d.awaitRun("plain")
	poll.send(requestHead("GET", "/-/lots/poll", "", 0))
	d.awaitRun("poll")

	d.shutDown()
	early := d.dial()
	early.send(requestHead("POST", "/plain/6", "early", 0))
	d.awaitRun("early")
	refused := d.dial()
	refused.send(requestHead("POST", "/none/7", "refused", 0))
	if resp, _, err := refused.response(); err != nil || resp.StatusCode != http.StatusNotFound || !resp.Close {
		t.Errorf("request without a route during the drain: got %v, error %v, want 404 with Connection: close", resp, err)
	}
	d.awaitEndOfAccepting()
	close(d.worker.finish)

	stream.expectComplete("stream begun before the drain")
	stream.send(requestHead("POST", "/stream/8", "next", 0))
	stream.expectRefusal("request on a connection whose stream has just ended", true)
	pipelined.expectComplete("stream with a pipelined request behind it")
	pipelined.expectRefusal("pipelined request", false)
	upload.send("cd")
	upload.expectRefusal("request whose body was completed after the end of accepting", false)
	head.send(requestHead("POST", "/plain/4", "head", 0)[40:])
	head.expectRefusal("request whose head was completed after the end of accepting", false)
	for what, c := range map[string]*drainClient{"response with a length": plain, "read of a job": poll, "request sent during the drain": early} {
		if !c.expectComplete(what) {
			t.Errorf("%s: the head was sent during the drain without Connection: close", what)
		}
	}
	for _, attempt := range []string{"next", "second", "upload", "head", "refused"} {
		if d.worker.hasRun(attempt) {
			t.Errorf("request %q was passed on to a worker after the end of accepting", attempt)
		}
	}
	if took, limit := <-d.stopped, constants.DrainAcceptTime+4*constants.LingerTimeout; took > limit+2*constants.GossipPeriod {
		t.Errorf("shutdown took %s though every response was complete soon after %s", took, constants.DrainAcceptTime)
	}
}
