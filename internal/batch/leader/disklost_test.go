package leader

import (
	"testing"

	"lemonarch/internal/batch/replicalog"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/simulation"
)

// serveReplica serves a store's log at an address and makes the machine known to a process.
func serveReplica(t *testing.T, process *Process, network *transport.MemoryNetwork, name, disk string) *replicalog.Log {
	t.Helper()
	log, err := replicalog.Open(simulation.NewDisk(int64(len(name)+len(disk))), disk)
	if err != nil {
		t.Fatal(err)
	}
	_ = network.Transport(name).Serve(func(kind messages.Kind, body []byte) ([]byte, error) {
		switch kind {
		case messages.KindFence:
			req := &messages.FenceRequest{}
			if err := transport.Decode(body, req); err != nil {
				return nil, err
			}
			resp, err := log.Fence(req)
			if err != nil {
				return nil, err
			}
			return transport.Encode(&resp)
		case messages.KindAppend:
			req := &messages.AppendRequest{}
			if err := transport.Decode(body, req); err != nil {
				return nil, err
			}
			resp, err := log.Append(req)
			if err != nil {
				return nil, err
			}
			return transport.Encode(&resp)
		}
		return transport.Encode(&messages.StatusResponse{})
	})
	process.Node.Observe([]messages.NodeInfo{{Name: name, Role: membership.RoleStore, Address: name, Disk: disk, Incarnation: 1}})
	return log
}

// A leader that takes over a set of which all others lost their disks goes on with its own
// copy: no other copy can hold a record that it lacks, and jobs are answered.
func TestTakeoverWhereAllOthersLostTheirDisks(t *testing.T) {
	process, network := soleStore(t, simulation.NewDisk(21)), transport.NewMemoryNetwork()
	process.Node.Transport = network.Transport("m")
	process.Node.Settings.FaultBudget.Machines = 2
	serveReplica(t, process, network, "a", "a-new")
	serveReplica(t, process, network, "b", "b-new")
	members := []messages.Member{process.Election.Member(), {Name: "a", Address: "a", Disk: "a-old"}, {Name: "b", Address: "b", Disk: "b-old"}}
	elected := messages.Leadership{Holder: "m", Incarnation: process.Node.Self.Incarnation, Epoch: 3}
	term := NewTerm(process, elected, members)
	t.Cleanup(func() { term.Close("test is over") })
	go term.TakeOver()
	if !term.waitServing(clock.Milliseconds(8000)) {
		t.Fatal("does not serve")
	}
}

// The register names three of five members whose disks are lost, more than the fault budget, as
// the removal of the first had not reached it when the others were lost. All that is left has been
// read, so the takeover waits for none of them.
func TestTakeoverWhereTheRegisterNamesMoreLostDisksThanTheBudget(t *testing.T) {
	process, network := soleStore(t, simulation.NewDisk(24)), transport.NewMemoryNetwork()
	process.Node.Transport = network.Transport("m")
	process.Node.Settings.FaultBudget.Machines = 2
	process.Election = grantingElection{leaseHolder: process.Election.(leaseHolder)}
	members := []messages.Member{process.Election.Member(), {Name: "whole", Address: "whole", Disk: "whole-disk"}}
	serveReplica(t, process, network, "whole", "whole-disk")
	for _, name := range []string{"a", "b", "c"} {
		serveReplica(t, process, network, name, name+"-new")
		members = append(members, messages.Member{Name: name, Address: name, Disk: name + "-old"})
	}
	term := NewTerm(process, messages.Leadership{Holder: "m", Incarnation: process.Node.Self.Incarnation, Epoch: 3}, members)
	t.Cleanup(func() { term.Close("test is over") })
	go term.TakeOver()
	if !term.waitServing(clock.Milliseconds(4000)) {
		t.Fatal("does not serve")
	}
}

// A member that refuses for another reason than its disk still counts: silence or a later
// epoch does not show that a record is nowhere else.
func TestOnlyAnsweredLossesOfDisksCount(t *testing.T) {
	process, network := soleStore(t, simulation.NewDisk(22)), transport.NewMemoryNetwork()
	process.Node.Transport = network.Transport("m")
	process.Node.Settings.FaultBudget.Machines = 2
	later := serveReplica(t, process, network, "later", "later-new")
	if _, err := later.Fence(&messages.FenceRequest{Epoch: 9, Disk: "later-new"}); err != nil {
		t.Fatal(err)
	}
	serveReplica(t, process, network, "lost", "lost-new")
	serveReplica(t, process, network, "same", "same")
	process.Node.Observe([]messages.NodeInfo{{Name: "silent", Role: membership.RoleStore, Address: "silent", Disk: "silent-new", Incarnation: 1}})
	// What others say of a machine may be old: it answers with the disk that the set names.
	process.Node.Observe([]messages.NodeInfo{{Name: "same", Role: membership.RoleStore, Address: "same", Disk: "older", Incarnation: 2}})
	members := []messages.Member{process.Election.Member()}
	for _, name := range []string{"later", "lost", "silent"} {
		members = append(members, messages.Member{Name: name, Address: name, Disk: name + "-old"})
	}
	members = append(members, messages.Member{Name: "same", Address: "same", Disk: "same"})
	term := NewTerm(process, messages.Leadership{Holder: "m", Epoch: 3}, members)
	t.Cleanup(func() { term.Close("test is over") })
	lost := term.markLostDisks()
	if len(lost) != 1 || !lost["lost#lost-old"] {
		t.Fatal(lost)
	}
}
