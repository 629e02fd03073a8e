package transport

import (
	"bufio"
	"bytes"
	"net"
	"os"
	"sync"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
)

// partialWriter writes half of the first frame, as a connection does whose write deadline expires.
type partialWriter struct {
	net.Conn
	lock    sync.Mutex
	closed  bool
	written bytes.Buffer
	writes  int
}

func (w *partialWriter) Write(text []byte) (int, error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.writes++
	switch {
	case w.closed:
		return 0, net.ErrClosed
	case w.writes == 1:
		w.written.Write(text[:len(text)/2])
		return len(text) / 2, os.ErrDeadlineExceeded
	}
	return w.written.Write(text)
}

func (w *partialWriter) SetWriteDeadline(clock.Time) error { return nil }

func (w *partialWriter) Close() error {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.closed = true
	return nil
}

// TestNothingIsWrittenAfterPartialFrame checks that nothing is written to a connection after a partial
// frame, however many writers wait: the receiver would read the next frame as the missing part.
func TestNothingIsWrittenAfterPartialFrame(t *testing.T) {
	raw := &partialWriter{}
	client := NewTCP("")
	peer := client.peer("there")
	current := &peerConn{conn: raw, pending: map[uint64]pendingCall{}}
	peer.current = current
	end := clock.Now().Add(clock.Milliseconds(60_000))
	current.writing.Lock()
	var group sync.WaitGroup
	for count := 0; count < 8; count++ {
		group.Add(1)
		go func() {
			defer group.Done()
			outgoing := &frame{frameType: frameRequest, kind: messages.KindShuffle, body: []byte("body")}
			if peer.write(current, outgoing, end, nil) == nil {
				t.Error("a frame was written after a partial frame")
			}
		}()
	}
	current.writing.Unlock()
	group.Wait()
	if raw.written.Len() != (headerBytes+4)/2 {
		t.Errorf("got %d bytes on the connection, want only half a frame (%d bytes)", raw.written.Len(), (headerBytes+4)/2)
	}
}

// TestLateCallIsNotSent checks that a call whose timeout has passed before its write is not sent and
// fails with ErrUnreachable.
func TestLateCallIsNotSent(t *testing.T) {
	raw := &partialWriter{}
	client := NewTCP("")
	peer := client.peer("there")
	err := peer.write(&peerConn{conn: raw}, &frame{frameType: frameRequest}, clock.Now()-1, nil)
	if !errs.Is(err, ErrUnreachable) || raw.writes != 0 {
		t.Fatalf("late call: got err %v and %d writes, want ErrUnreachable and none", err, raw.writes)
	}
}

// TestResponsesMatchCallByNumberAndKind checks that a response is delivered once, to the call with its
// number and kind.
func TestResponsesMatchCallByNumberAndKind(t *testing.T) {
	call := pendingCall{kind: messages.KindShuffle, response: make(chan frame, 2)}
	current := &peerConn{pending: map[uint64]pendingCall{7: call}}
	other := uint64(7) + 1<<incarnationShift
	for _, stray := range []frame{{frameType: frameResponse, kind: messages.KindShuffle, number: 8}, {frameType: frameResponse, kind: messages.KindShuffle, number: other},
		{frameType: frameRequest, kind: messages.KindShuffle, number: 7}, {frameType: frameNotification, kind: messages.KindShuffle, number: 7}} {
		if !current.deliver(stray) || len(call.response) != 0 {
			t.Fatalf("frame %+v was accepted as the response, or closed the connection", stray)
		}
	}
	if current.deliver(frame{frameType: frameResponse, kind: messages.KindJobCall, number: 7}) || len(call.response) != 0 {
		t.Fatal("a response of another kind was accepted")
	}
	for count := 0; count < 2; count++ {
		if !current.deliver(frame{frameType: frameResponse, kind: messages.KindShuffle, number: 7}) || len(call.response) != 1 {
			t.Fatalf("%d responses were delivered, want 1", len(call.response))
		}
	}
}

// TestDuplicateCallIsHandledOnce checks that a call which arrives twice on a connection is handled once.
// Senders of frame version 1 did not number calls in order, so all their calls are handled.
func TestDuplicateCallIsHandledOnce(t *testing.T) {
	for version, want := range map[byte][]uint64{orderedFrameVersion: {5, 9, 12}, 1: {5, 9, 9, 5, 12}} {
		clientSide, serverSide := net.Pipe()
		go NewTCP("").serveConnection(serverSide, func(_ messages.Kind, body []byte) ([]byte, error) { return body, nil })
		go func() {
			for _, number := range []uint64{5, 9, 9, 5, 12} {
				data := appendFrame(nil, frame{frameType: frameRequest, kind: messages.KindShuffle, number: number, body: []byte("body")})
				data[1] = version
				_, _ = clientSide.Write(data)
			}
		}()
		got, responses := map[uint64]int{}, bufio.NewReader(clientSide)
		for range want {
			resp, err := readFrame(responses)
			if err != nil {
				t.Fatal(err)
			}
			got[resp.number]++
		}
		for _, number := range want {
			got[number]--
		}
		for number, surplus := range got {
			if surplus != 0 {
				t.Errorf("version %d: call %d: got %d responses more than expected", version, number, surplus)
			}
		}
		clientSide.Close()
	}
}
