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

// bodyBytes makes the acceptor's file reach its limit every dozen changes.
const bodyBytes = 180_000

var (
	errRefused = errors.New("the disk refused")
	only       = messages.Member{Name: "a", Address: "a", Disk: "first"}
)

// lone is a register of one acceptor, driven without goroutines or timers.
type lone struct {
	test        *testing.T
	disk        *simulation.Disk
	replica     *registerserver.Replica
	counter     uint64
	incarnation int64
}

// open reads the disk as a process does at its start.
func (l *lone) open() {
	replica, err := registerserver.Open(l.disk, []messages.Member{only}, only.Disk)
	if err != nil {
		l.test.Fatalf("the disk can't be read: %v", err)
	}
	replica.Node = &agent.Agent{Runtime: &process.Runtime{Self: messages.NodeInfo{Name: only.Name, Address: only.Address}}}
	l.replica = replica
	l.incarnation++
}

// change takes a change through both rounds; an error of the disk ends it.
func (l *lone) change(change register.Change) (messages.RegisterValue, error) {
	l.counter++
	proposal, sends := register.NewProposal(register.NewBallot(l.counter, "a", only.Disk, l.incarnation), l.replica.Known(), change)
	promise, err := l.replica.Prepare(sends[0].Prepare)
	if err != nil {
		return messages.RegisterValue{}, err
	}
	for _, send := range proposal.HandlePrepareResponse(only, promise) {
		accepted, err := l.replica.Accept(send.Accept)
		if err != nil {
			return messages.RegisterValue{}, err
		}
		proposal.HandleAcceptResponse(only, accepted)
	}
	if proposal.Stage() != register.StageDone {
		l.counter = max(l.counter, proposal.Highest().Counter)
		return messages.RegisterValue{}, errRefused
	}
	return proposal.Value(), nil
}

// acknowledged gives what a query tells of the value in force.
func (l *lone) acknowledged() messages.Version {
	resp, err := l.replica.Prepare(&messages.PrepareRequest{Disk: only.Disk, Query: true, WithoutBody: true})
	if err != nil {
		l.test.Fatal(err)
	}
	return resp.Value.Current
}

// failAfter has the disk refuse the operation after so many, and with power all that follow.
func (l *lone) failAfter(left *int, power bool) {
	l.disk.Intercept = func(simulation.Operation, string) error {
		if *left--; *left < 0 && (power || *left == -1) {
			return errRefused
		}
		return nil
	}
}

// commitOnFailingDisk commits a version on top of the newest while the disk fails, and tells
// whether that was acknowledged. It checks that nothing acknowledged or answered is lost.
func (l *lone) commitOnFailingDisk(random *rand.Rand, newest messages.Version) (version messages.Version, acknowledged bool) {
	left, power := 3+random.Intn(40), random.Intn(2) == 0
	l.failAfter(&left, power)
	version = messages.Version{Generation: newest.Generation + 1, Base: newest.Generation, Hash: fmt.Sprint(random.Int63())}
	var result register.Result
	_, err := l.change(register.Replace(version, make([]byte, bodyBytes), &result))
	if acknowledged = err == nil && result == register.ResultApplied; acknowledged {
		newest = version
	}
	notified := l.acknowledged()
	if notified.Generation < newest.Generation {
		l.test.Fatalf("answered %v after %v was acknowledged", notified, newest)
	}
	if left < 0 && power {
		l.disk.Intercept = nil
		l.disk.PowerLoss()
		l.open()
		if after := l.acknowledged(); after.Generation < notified.Generation || after.Generation < newest.Generation {
			l.test.Fatalf("%v after a loss of power, answered %v and acknowledged %v before", after, notified, newest)
		}
	}
	l.disk.Intercept = nil
	return version, acknowledged
}

// An acceptor's disk refuses any operation, or power fails at it, in the midst of
// appends and rewrites of both files: what was acknowledged or answered to a query stands
// after each start, and each version taken is still known.
func TestDiskFailsAtAnyOperation(t *testing.T) {
	for seed := 1; seed <= simulation.Seeds(6); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { failDiskOfSeed(t, int64(seed)) })
	}
}

func failDiskOfSeed(t *testing.T, seed int64) {
	t.Helper()

	random := rand.New(rand.NewSource(seed))
	l := &lone{test: t, disk: simulation.NewDisk(seed)}
	l.open()
	var taken []messages.Version
	newest := messages.Version{}
	for range 60 {
		if version, acknowledged := l.commitOnFailingDisk(random, newest); acknowledged {
			taken = append(taken, version)
		}
		value, err := l.change(register.ReadOnly)
		if err != nil {
			t.Fatalf("the disk works again and yet: %v", err)
		}
		newest = value.Current
	}
	for _, version := range taken {
		if _, result, err := l.replica.Replace(version, nil); err != nil || result != register.ResultAlreadyApplied {
			t.Fatalf("%v was taken, sent again: %d %v", version, result, err)
		}
	}
	if len(taken) < 20 {
		t.Fatalf("only %d changes", len(taken))
	}
}
