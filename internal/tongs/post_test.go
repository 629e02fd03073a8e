package tongs_test

import (
	"fmt"
	"sync"
	"testing"

	"lemonarch/internal/mishap"
	"lemonarch/internal/model"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// tally counts frames; calls come from several threads in the contract.
type tally struct {
	lock           sync.Mutex
	calls, answers int
	bytes          int
}

func (tally *tally) seen(frame tongs.Frame) {
	tally.lock.Lock()
	defer tally.lock.Unlock()
	if frame.Answer {
		tally.answers++
	} else {
		tally.calls++
	}
	tally.bytes += frame.Bytes
}

func TestContractCountingMemory(test *testing.T) {
	room, count, counted := tongs.NewRoom(), 0, &tally{}
	room.OnFrame(counted.seen)
	contract(test, func() (tongs.Transport, string) {
		count++
		address := fmt.Sprint("node", count)
		return room.Transport(address), address
	})
	counted.lock.Lock()
	defer counted.lock.Unlock()
	// Five calls of the contract find somebody; the last of them is never answered in
	// time, though its answer may come before we look.
	if counted.calls != 5 || counted.answers < 4 {
		test.Fatalf("counted %d calls and %d answers", counted.calls, counted.answers)
	}
}

// simulated makes a room on a fake clock with a millisecond each way.
func simulated() (*tongs.Room, *model.World, *tally, map[string]bool) {
	room, world, counted, gone := tongs.NewRoom(), model.NewWorld(1), &tally{}, map[string]bool{}
	room.OnFrame(counted.seen)
	room.Simulate(tongs.Surroundings{Clock: world,
		Delay: func(string, string) watch.Span { return watch.Milliseconds(1) },
		Reach: func(from, to string) bool { return !gone[from] && !gone[to] }})
	return room, world, counted, gone
}

func TestPostTakesItsTimeAndCounts(test *testing.T) {
	room, world, counted, _ := simulated()
	_ = room.Transport("server").Serve(func(_ pattern.Kind, body []byte) ([]byte, error) { return append([]byte("to "), body...), nil })
	var answer string
	at := watch.Moment(0)
	room.Transport("client").Post("server", pattern.KindShuffle, []byte("one"), enough, func(body []byte, failure error) {
		if failure != nil {
			test.Error(failure)
		}
		answer, at = string(body), world.Now
	})
	world.Run(watch.Moment(enough))
	// The head is 17 bytes: the frame format's contract.
	if answer != "to one" || at != watch.Moment(watch.Milliseconds(2)) || counted.calls != 1 || counted.answers != 1 || counted.bytes != 17+3+17+6 {
		test.Fatalf("%q at %d, %+v", answer, at, counted)
	}
}

func TestPostTellsSilenceRefusalAndAbsenceApart(test *testing.T) {
	room, world, _, gone := simulated()
	_ = room.Transport("server").Serve(func(kind pattern.Kind, _ []byte) ([]byte, error) {
		if kind == pattern.KindGossip {
			gone["server"] = true
			return []byte("lost on its way"), nil
		}
		return nil, nil
	})
	type outcome struct {
		failure error
		at      watch.Moment
	}
	var outcomes []outcome
	post := func(address string, kind pattern.Kind) {
		begun := world.Now
		room.Transport("client").Post(address, kind, nil, watch.Milliseconds(30), func(_ []byte, failure error) {
			outcomes = append(outcomes, outcome{failure, world.Now - begun})
		})
		world.Run(world.Now + watch.Moment(enough))
	}
	post("server", pattern.Kind(9999))
	post("nobody", pattern.KindShuffle)
	post("server", pattern.KindGossip)
	post("server", pattern.KindShuffle)
	silent := watch.Moment(watch.Milliseconds(30))
	if len(outcomes) != 4 || !mishap.Of(outcomes[0].failure, tongs.Refused) || !mishap.Of(outcomes[1].failure, tongs.Unreached) ||
		!mishap.Of(outcomes[2].failure, tongs.Unanswered) || outcomes[2].at != silent ||
		!mishap.Of(outcomes[3].failure, tongs.Unanswered) || outcomes[3].at != silent {
		test.Fatalf("%+v", outcomes)
	}
}
