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
func (a *singleAcceptor) open() {
	replica, err := registerserver.Open(a.disk, []messages.Member{soleMember}, soleMember.Disk)
	if err != nil {
		a.test.Fatalf("open after restart: %v", err)
	}
	replica.Node = &agent.Agent{Runtime: &process.Runtime{Self: messages.NodeInfo{Name: soleMember.Name, Address: soleMember.Address}}}
	a.replica = replica
	a.incarnation++
}

// change runs a change through both rounds, up to the first disk error.
func (a *singleAcceptor) change(change register.Change) (messages.RegisterValue, error) {
	a.counter++
	proposal, sends := register.NewProposal(register.NewBallot(a.counter, "a", soleMember.Disk, a.incarnation), a.replica.Known(), change)
	promise, err := a.replica.Prepare(sends[0].Prepare)
	if err != nil {
		return messages.RegisterValue{}, err
	}
	for _, send := range proposal.HandlePrepareResponse(soleMember, promise) {
		accepted, err := a.replica.Accept(send.Accept)
		if err != nil {
			return messages.RegisterValue{}, err
		}
		proposal.HandleAcceptResponse(soleMember, accepted)
	}
	if proposal.Stage() != register.StageDone {
		a.counter = max(a.counter, proposal.Highest().Counter)
		return messages.RegisterValue{}, errDiskFailure
	}
	return proposal.Value(), nil
}

// queryCurrent returns the current version according to a query.
func (a *singleAcceptor) queryCurrent() messages.Version {
	resp, err := a.replica.Prepare(&messages.PrepareRequest{Disk: soleMember.Disk, Query: true, WithoutBody: true})
	if err != nil {
		a.test.Fatal(err)
	}
	return resp.Value.Current
}

// failAfter has the disk fail the operation after the given number of operations, and with powerLoss
// all later operations too.
func (a *singleAcceptor) failAfter(remaining *int, powerLoss bool) {
	a.disk.Intercept = func(simulation.Operation, string) error {
		if *remaining--; *remaining < 0 && (powerLoss || *remaining == -1) {
			return errDiskFailure
		}
		return nil
	}
}

// commitOnFailingDisk commits a version on top of the newest while the disk fails, and reports
// whether it was acknowledged. It checks that nothing that was acknowledged or returned by a query
// is lost.
func (a *singleAcceptor) commitOnFailingDisk(random *rand.Rand, newest messages.Version) (version messages.Version, acknowledged bool) {
	remaining, powerLoss := 3+random.Intn(40), random.Intn(2) == 0
	a.failAfter(&remaining, powerLoss)
	version = messages.Version{Generation: newest.Generation + 1, Base: newest.Generation, Hash: fmt.Sprint(random.Int63())}
	var result register.Result
	_, err := a.change(register.Replace(version, make([]byte, bodyBytes), &result))
	if acknowledged = err == nil && result == register.ResultApplied; acknowledged {
		newest = version
	}
	reported := a.queryCurrent()
	if reported.Generation < newest.Generation {
		a.test.Fatalf("query returned %v after %v was acknowledged", reported, newest)
	}
	if remaining < 0 && powerLoss {
		a.disk.Intercept = nil
		a.disk.PowerLoss()
		a.open()
		if after := a.queryCurrent(); after.Generation < reported.Generation || after.Generation < newest.Generation {
			a.test.Fatalf("query returned %v after a power loss, but %v was returned and %v acknowledged before", after, reported, newest)
		}
	}
	a.disk.Intercept = nil
	return version, acknowledged
}

// Any disk operation of an acceptor may fail, or power may fail at it, during appends and rewrites
// of both files. What was acknowledged or returned by a query must remain after each start, and
// each committed version must still be known.
func TestCommittedVersionsSurviveDiskFailures(t *testing.T) {
	for seed := 1; seed <= simulation.Seeds(6); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { failDiskOfSeed(t, int64(seed)) })
	}
}

func failDiskOfSeed(t *testing.T, seed int64) {
	t.Helper()

	random := rand.New(rand.NewSource(seed))
	a := &singleAcceptor{test: t, disk: simulation.NewDisk(seed)}
	a.open()
	var committed []messages.Version
	newest := messages.Version{}
	for range 60 {
		if version, acknowledged := a.commitOnFailingDisk(random, newest); acknowledged {
			committed = append(committed, version)
		}
		value, err := a.change(register.ReadOnly)
		if err != nil {
			t.Fatalf("read after the disk recovered: %v", err)
		}
		newest = value.Current
	}
	for _, version := range committed {
		if _, result, err := a.replica.Replace(version, nil); err != nil || result != register.ResultAlreadyApplied {
			t.Fatalf("%v was committed, but sending it again got result %d, error %v, want result %d", version, result, err, register.ResultAlreadyApplied)
		}
	}
	if len(committed) < 20 {
		t.Fatalf("only %d changes committed, want at least 20", len(committed))
	}
}
