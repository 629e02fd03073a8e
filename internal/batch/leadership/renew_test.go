package leadership

import (
	"sync/atomic"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// openTerm is a term that does nothing.
type openTerm struct{ closed atomic.Bool }

func (t *openTerm) Epoch() uint64 { return 4 }
func (t *openTerm) TakeOver()     {}
func (t *openTerm) Close(string)  { t.closed.Store(true) }
func (t *openTerm) Closed() bool  { return t.closed.Load() }

// leadThrough has a campaign hold the lease of one acceptor that answers after a time, and
// tells whether it still leads after three leases.
func leadThrough(t *testing.T, delay clock.Duration) bool {
	t.Helper()
	c, network := newCampaign(), transport.NewMemoryNetwork()
	c.node.Transport = network.Transport("m")
	_ = network.Transport("acceptor").Serve(func(messages.Kind, []byte) ([]byte, error) {
		clock.Sleep(delay)
		return transport.Encode(&messages.LeaseResponse{Granted: true, Epoch: 4})
	})
	term := &openTerm{}
	c.lock.Lock()
	c.term = term
	c.register.value.Acceptors = []messages.Member{{Name: "a", Address: "acceptor", Disk: "d"}}
	c.lease.Renewed(clock.Now())
	c.lock.Unlock()
	for end := clock.Now().Add(3 * constants.LeaseDuration); clock.Now() < end && !term.Closed(); {
		<-clock.After(c.step())
	}
	return !term.Closed()
}

// A leader whose link is full gets its answers late, and goes on leading while they come
// within its lease; answers that come after it are of no use.
func TestLateAnswersRenewTheLease(t *testing.T) {
	if !leadThrough(t, 2*constants.LeaseRenewPeriod) {
		t.Error("the lease expired although each answer came within it")
	}
	if leadThrough(t, constants.LeaseDuration) {
		t.Error("leads by answers that came after the lease")
	}
}
