package registerserver_test

import (
	"errors"
	"fmt"
	"math/rand"
	"testing"

	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/register"
	"lemonarch/internal/control/registerserver"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/process"
	"lemonarch/internal/tooling/simulation"
)

// bodyBytes is the size of a configuration; the acceptor's file reaches its limit about every dozen
// changes of this size.
const bodyBytes = 180_000

var (
	errDiskFailure = errors.New("simulated disk failure")
	soleMember     = messages.Member{Name: "a", Address: "a", Disk: "first"}
)

// singleAcceptor is a register with one acceptor, driven without goroutines or timers.
type singleAcceptor struct {
	test        *testing.T
	disk        *simulation.Disk
	replica     *registerserver.Replica
	counter     uint64
	incarnation int64
}

// open reads the disk as a process does at its start.
func (l *singleAcceptor) open() {
	replica, err := registerserver.Open(l.disk, []messages.Member{soleMember}, soleMember.Disk)
	if err != nil {
		l.test.Fatalf("open after restart: %v", err)
	}
	replica.Node = &agent.Agent{Runtime: &process.Runtime{Self: messages.NodeInfo{Name: soleMember.Name, Address: soleMember.Address}}}
	l.replica = replica
	l.incarnation++
}

// change runs a change through both rounds, up to the first disk error.
func (l *singleAcceptor) change(change register.Change) (messages.RegisterValue, error) {
	l.counter++
	proposal, sends := register.NewProposal(register.NewBallot(l.counter, "a", soleMember.Disk, l.incarnation), l.replica.Known(), change)
	promise, err := l.replica.Prepare(sends[0].Prepare)
	if err != nil {
		return messages.RegisterValue{}, err
	}
	for _, send := range proposal.HandlePrepareResponse(soleMember, promise) {
		accepted, err := l.replica.Accept(send.Accept)
		if err != nil {
			return messages.RegisterValue{}, err
		}
		proposal.HandleAcceptResponse(soleMember, accepted)
	}
	if proposal.Stage() != register.StageDone {
		l.counter = max(l.counter, proposal.Highest().Counter)
		return messages.RegisterValue{}, errDiskFailure
	}
	return proposal.Value(), nil
}

// queryCurrent returns the current version according to a query.
func (l *singleAcceptor) queryCurrent() messages.Version {
	resp, err := l.replica.Prepare(&messages.PrepareRequest{Disk: soleMember.Disk, Query: true, WithoutBody: true})
	if err != nil {
		l.test.Fatal(err)
	}
	return resp.Value.Current
}

// failAfter has the disk fail the operation after the given number of operations; after a power
// loss all later operations fail too.
func (l *singleAcceptor) failAfter(remaining *int, powerLoss bool) {
	l.disk.Intercept = func(simulation.Operation, string) error {
		if *remaining--; *remaining < 0 && (powerLoss || *remaining == -1) {
			return errDiskFailure
		}
		return nil
	}
}

// commitOnFailingDisk commits a version on top of the newest while the disk fails, and reports
// whether it was acknowledged. It checks that nothing that was acknowledged or returned by a query
// is lost.
func (l *singleAcceptor) commitOnFailingDisk(random *rand.Rand, newest messages.Version) (version messages.Version, acknowledged bool) {
	remaining, powerLoss := 3+random.Intn(40), random.Intn(2) == 0
	l.failAfter(&remaining, powerLoss)
	version = messages.Version{Generation: newest.Generation + 1, Base: newest.Generation, Hash: fmt.Sprint(random.Int63())}
	var result register.Result
	_, err := l.change(register.Replace(version, make([]byte, bodyBytes), &result))
	if acknowledged = err == nil && result == register.ResultApplied; acknowledged {
		newest = version
	}
	reported := l.queryCurrent()
	if reported.Generation < newest.Generation {
		l.test.Fatalf("query returned %v after %v was acknowledged", reported, newest)
	}
	if remaining < 0 && powerLoss {
		l.disk.Intercept = nil
		l.disk.PowerLoss()
		l.open()
		if after := l.queryCurrent(); after.Generation < reported.Generation || after.Generation < newest.Generation {
			l.test.Fatalf("query returned %v after a power loss, but %v was returned and %v acknowledged before", after, reported, newest)
		}
	}
	l.disk.Intercept = nil
	return version, acknowledged
}

// Any disk operation of an acceptor may fail, or power may fail at it, during appends and rewrites
// of both files. What was acknowledged or returned by a query must remain after each start, and
// each committed version must still be known.
func TestDiskFailsAtAnyOperation(t *testing.T) {
	for seed := 1; seed <= simulation.Seeds(6); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { failDiskOfSeed(t, int64(seed)) })
	}
}

func failDiskOfSeed(t *testing.T, seed int64) {
	t.Helper()

	random := rand.New(rand.NewSource(seed))
	l := &singleAcceptor{test: t, disk: simulation.NewDisk(seed)}
	l.open()
	var committed []messages.Version
	newest := messages.Version{}
	for range 60 {
		if version, acknowledged := l.commitOnFailingDisk(random, newest); acknowledged {
			committed = append(committed, version)
		}
		value, err := l.change(register.ReadOnly)
		if err != nil {
			t.Fatalf("read after the disk recovered: %v", err)
		}
		newest = value.Current
	}
	for _, version := range committed {
		if _, result, err := l.replica.Replace(version, nil); err != nil || result != register.ResultAlreadyApplied {
			t.Fatalf("%v was committed, but sending it again got result %d, error %v", version, result, err)
		}
	}
	if len(committed) < 20 {
		t.Fatalf("only %d changes committed, want at least 20", len(committed))
	}
}
