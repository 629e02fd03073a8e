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

// serveReplica serves a store's log at an address and announces the store to a process.
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

// All other members of the set have lost their disks. No other copy can have a record that the new
// leader lacks, so it must complete the takeover with its own copy and serve.
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
		t.Fatal("term does not serve after the takeover")
	}
}

// The disks of three of the five members in the register are lost, more than the fault budget: the first
// lost disk was not removed from the set before the others were lost. All remaining copies have been
// read, so the takeover must not wait for the lost ones.
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
		t.Fatal("term does not serve after the takeover")
	}
}

// A disk counts as lost only if its machine responds with a different disk. A member that is silent
// or rejects the request because of a later epoch may still have records that no other store has.
func TestOnlyConfirmedDiskLossesCount(t *testing.T) {
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
	// Gossiped information may be out of date: this machine still responds with the disk listed in
	// the set.
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
		t.Fatalf("lost disks are %v, want only lost#lost-old", lost)
	}
}
