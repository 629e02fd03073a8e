package leader

import (
	"testing"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/simulation"
)

// grantingElection is an election whose register applies every change of the store set.
type grantingElection struct{ leaseHolder }

func (e grantingElection) ChangeRegister(req *messages.RegisterChangeRequest) (*messages.RegisterResponse, bool) {
	return &messages.RegisterResponse{Applied: true, Value: messages.RegisterValue{Leadership: req.Holder, Stores: req.Stores}}, true
}

// Two of five members lost their disks and were removed. One of the remaining three departs before
// replacements are complete. Both others have every record, so a leader among them must remove the
// departed member from the store set and serve.
func TestTakeoverWithADepartedMember(t *testing.T) {
	process, network := soleStore(t, simulation.NewDisk(23)), transport.NewMemoryNetwork()
	process.Node.Transport = network.Transport("m")
	process.Node.Settings.FaultBudget.Machines = 2
	process.Election = grantingElection{leaseHolder: process.Election.(leaseHolder)}
	serveReplica(t, process, network, "a", "a-disk")
	members := []messages.Member{process.Election.Member(), {Name: "a", Address: "a", Disk: "a-disk"}, {Name: "gone", Address: "gone", Disk: "gone-disk"}}
	term := NewTerm(process, messages.Leadership{Holder: "m", Incarnation: process.Node.Self.Incarnation, Epoch: 3}, members)
	t.Cleanup(func() { term.Close("test is over") })
	go term.TakeOver()
	if !term.waitServing(clock.Milliseconds(8000)) {
		t.Fatal("term does not serve after the takeover")
	}
}
