package store

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// sentOf adds up the messages of a kind that a store has sent.
func sentOf(server *Server, kind messages.Kind) (sent int64) {
	for _, sample := range server.Node.Transport.(transport.Metered).Meter().Samples() {
		if sample.Kind == kind {
			sent += sample.Flow.Sent.Messages
		}
	}
	return sent
}

// Of five members the leader feeds two, who pass the records on to the other two; with any
// member cut off, and after a leader was lost, jobs are taken all the same.
func TestMembersPassRecordsOn(t *testing.T) {
	fleet := newStoreFleetOf(t, 7, 6, 2)
	fleet.submitAndCheck()
	leading := fleet.leaderStore()
	fleet.waitFor("records are passed on", func() bool {
		fleet.submitAndCheck()
		forwarded := int64(0)
		for _, server := range fleet.servers() {
			forwarded += sentOf(server, messages.KindAppendForwarded)
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
			t.Errorf("work with %s cut off took %v", name, took)
		}
		fleet.network.SetPartitioned(address, false)
	}
	fleet.stopServer(leading)
	fleet.disks[leading.Node.Self.Name].PowerLoss()
	fleet.submitAndCheck()
	if len(fleet.storeSetDisks()) < 4 {
		t.Fatal(fleet.storeSetDisks())
	}
}

// An order that finds the queue full is dropped, and one whose target is silent is not
// reported: the leader sends it itself.
func TestForwarderHoldsNobodyUp(t *testing.T) {
	network, stop := transport.NewMemoryNetwork(), make(chan struct{})
	defer close(stop)
	release, got := make(chan struct{}), make(chan int64, 100)
	_ = network.Transport("slow").Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
		<-release
		req := &messages.AppendRequest{}
		if err := transport.Decode(body, req); err != nil {
			return nil, err
		}
		if req.Disk != "target" || req.Forward != nil {
			t.Error("passed on as ", req.Disk, req.Forward)
		}
		got <- req.PreviousIndex
		return transport.Encode(&messages.AppendResponse{Granted: true, Last: req.PreviousIndex})
	})
	reported := make(chan *messages.AppendForwarded, 100)
	_ = network.Transport("leader").Serve(func(_ messages.Kind, body []byte) ([]byte, error) {
		forwarded := &messages.AppendForwarded{}
		if err := transport.Decode(body, forwarded); err != nil {
			return nil, err
		}
		reported <- forwarded
		return transport.Encode(&messages.Ack{})
	})
	wire := network.Transport("own")
	f := newForwarder(func() transport.Transport { return wire }, stop)
	for i := int64(0); i < 10*constants.ForwardQueue; i++ {
		f.enqueue(&messages.AppendRequest{Epoch: 3, Disk: "own", PreviousIndex: i,
			Forward: &messages.AppendForward{Address: "slow", Disk: "target", ReportTo: "leader"}})
	}
	close(release)
	last := int64(-1)
	for range constants.ForwardQueue {
		index := <-got
		if index <= last {
			t.Fatal("passed on out of order: ", index, last)
		}
		last = index
	}
	// Reports may pass each other on their way, and one more order than the queue holds may be
	// under way.
	reportedOn := map[int64]bool{}
	for range constants.ForwardQueue {
		report := <-reported
		if report.Epoch != 3 || report.Disk != "target" || !report.Response.Granted || reportedOn[report.Response.Last] {
			t.Fatal(report)
		}
		reportedOn[report.Response.Last] = true
	}
}
