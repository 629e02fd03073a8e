package store

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// sentMessages returns the number of messages of a kind that a store has sent.
func sentMessages(server *Server, kind messages.Kind) (sent int64) {
	for _, sample := range server.Node.Transport.(transport.Metered).Meter().Samples() {
		if sample.Kind == kind {
			sent += sample.Flow.Sent.Messages
		}
	}
	return sent
}

// In a set of five members the leader sends records to two, which forward them to the other two.
// Jobs are still accepted with any one member partitioned, and after the loss of the leader.
func TestMembersForwardRecords(t *testing.T) {
	fleet := newStoreFleetOf(t, 7, 6, 2)
	fleet.submitAndCheck()
	leading := fleet.leaderStore()
	fleet.waitFor("records are forwarded", func() bool {
		fleet.submitAndCheck()
		forwarded := int64(0)
		for _, server := range fleet.servers() {
			forwarded += sentMessages(server, messages.KindAppendForwarded)
		}
		return forwarded > 4
	})
	for name := range fleet.storeSetDisks() {
		if name == leading.Node.Self.Name {
			continue
		}
		address := fleet.stores[name].Node.Self.Address
		fleet.network.SetPartitioned(address, true)
		start := clock.Now()
		fleet.submitAndCheck()
		if took := clock.Now().Sub(start); took > 3*constants.ForwardTimeout+constants.LeaseDuration {
			t.Errorf("calls on jobs with %s partitioned took %v, want at most %v",
				name, took, 3*constants.ForwardTimeout+constants.LeaseDuration)
		}
		fleet.network.SetPartitioned(address, false)
	}
	fleet.stopServer(leading)
	fleet.disks[leading.Node.Self.Name].PowerLoss()
	fleet.submitAndCheck()
	if len(fleet.storeSetDisks()) < 4 {
		t.Fatalf("got store set %v, want at least 4 members", fleet.storeSetDisks())
	}
}

// The forwarder must drop requests while the queue is full, since the leader sends those records
// itself. It must forward the others in order and report each response to the leader once.
func TestForwarderDropsRequestsOfFullQueue(t *testing.T) {
	network, stop := transport.NewMemoryNetwork(), make(chan struct{})
	defer close(stop)
	release, forwarded := make(chan struct{}), make(chan int64, 100)
	_ = network.Transport("slow").Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
		<-release
		req := &messages.AppendRequest{}
		if err := transport.Decode(body, req); err != nil {
			return nil, err
		}
		if req.Disk != "target" || req.Forward != nil {
			t.Errorf("got a request for disk %s, to be forwarded to %+v; want disk target and nil", req.Disk, req.Forward)
		}
		forwarded <- req.PreviousIndex
		return transport.Encode(&messages.AppendResponse{Granted: true, Last: req.PreviousIndex})
	})
	reported := make(chan *messages.AppendForwarded, 100)
	_ = network.Transport("leader").Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
		report := &messages.AppendForwarded{}
		if err := transport.Decode(body, report); err != nil {
			return nil, err
		}
		reported <- report
		return transport.Encode(&messages.Ack{})
	})
	sender := network.Transport("own")
	f := newForwarder(func() transport.Transport { return sender }, stop)
	for i := int64(0); i < 10*constants.ForwardQueue; i++ {
		f.enqueue(&messages.AppendRequest{Epoch: 3, Disk: "own", PreviousIndex: i,
			Forward: &messages.AppendForward{Address: "slow", Disk: "target", ReportTo: "leader"}})
	}
	close(release)
	last := int64(-1)
	for range constants.ForwardQueue {
		index := <-forwarded
		if index <= last {
			t.Fatalf("request with previous index %d was forwarded after %d, want ascending indexes", index, last)
		}
		last = index
	}
	// Reports may overtake each other, and one request more than the queue's capacity may be in
	// flight.
	reportedOn := map[int64]bool{}
	for range constants.ForwardQueue {
		report := <-reported
		if report.Epoch != 3 || report.Disk != "target" || !report.Response.Granted || reportedOn[report.Response.Last] {
			t.Fatalf("got report %+v, want one report per request, of epoch 3, for disk target and granted", report)
		}
		reportedOn[report.Response.Last] = true
	}
}
