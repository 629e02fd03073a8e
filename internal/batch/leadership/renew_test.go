package leadership

import (
	"sync/atomic"
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// openTerm is a term that does nothing but record that it was closed.
type openTerm struct{ closed atomic.Bool }

func (t *openTerm) Epoch() uint64 { return 4 }
func (t *openTerm) TakeOver()     {}
func (t *openTerm) Close(string)  { t.closed.Store(true) }
func (t *openTerm) Closed() bool  { return t.closed.Load() }

// leadsWithResponseDelay runs a campaign whose single acceptor responds after a delay, and
// reports whether it still leads after three lease durations.
func leadsWithResponseDelay(t *testing.T, delay clock.Duration) bool {
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

// A leader with a saturated link receives lease responses late. It must keep leading while they
// arrive within the lease duration, and must stop if they arrive after it.
func TestLateResponsesRenewTheLease(t *testing.T) {
	if !leadsWithResponseDelay(t, 2*constants.LeaseRenewPeriod) {
		t.Error("lease expired although each response arrived within its duration")
	}
	if leadsWithResponseDelay(t, constants.LeaseDuration) {
		t.Error("still leads although the responses arrived after the lease had expired")
	}
}
