package store

import (
	"fmt"
	"testing"

	"lemonarch/internal/batch/lots"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/simulation"
)

// A newcomer gets what is durable from a member, and no frame of it from the
// holder; a member that came back with another disk is no source.
func TestNewcomerCopiesFromAMember(t *testing.T) {
	fleet := newRimFleet(t, 31)
	for number := 0; number < 4; number++ {
		fleet.work()
	}
	holder := fleet.holder()
	current := holder.current()
	newcomer := fleet.outside()
	appended := 0
	fleet.room.OnFrame(func(frame transport.Frame) {
		if !frame.Answer && frame.Kind == messages.KindAppend && frame.To == newcomer.Node.Own.Address && frame.From == holder.Node.Own.Address {
			appended++
		}
	})
	done := current.copied(newcomer.member(), 0, newCopySpan())
	current.lock.Lock()
	durable := current.press.Done()
	current.lock.Unlock()
	extent := newcomer.Store.Extent()
	last, stretches := extent.Last, extent.Stretches
	if done == 0 || last != done || appended > 0 || done > durable {
		t.Fatal(done, last, appended, durable)
	}
	// The same records, under the same epochs, as those of the members that have them;
	// the holder's own disk may be one that is still behind what is durable.
	inside := fleet.records()
	for index := int64(1); index <= done; index++ {
		left, _ := newcomer.Store.Read(index)
		compared := 0
		for _, one := range fleet.all() {
			if _, member := inside[one.Node.Own.Name]; !member {
				continue
			}
			right, err := one.Store.Read(index)
			if err != nil {
				continue
			}
			compared++
			if left == nil || fmt.Sprint(*left) != fmt.Sprint(*right) {
				t.Fatal(index, one.Node.Own.Name)
			}
		}
		if compared < lots.CopiesNeeded(len(inside), holder.budget()) {
			t.Fatal("durable with ", compared, " copies: ", index)
		}
	}
	if len(stretches) == 0 {
		t.Fatal("no epochs")
	}
	body, _ := transport.Write(&messages.Fetch{First: 1, Disk: "another"})
	back, err := newcomer.Node.Handle(messages.KindFetch, body)
	answer := &messages.Fetched{}
	if err != nil || transport.Read(back, answer) != nil || answer.Granted || len(answer.Records) > 0 {
		t.Fatal("a store answered for a disk that it has not")
	}
}

// outside gives a store that is no member of the store set.
func (r *rimFleet) outside() *Server {
	inside := r.records()
	for _, one := range r.all() {
		if _, in := inside[one.Node.Own.Name]; !in {
			return one
		}
	}
	r.test.Fatal("all are members")
	return nil
}

// An order from a member that is cut off half way leaves the newcomer with a part
// that counts, and the holder goes on from there.
func TestCopyGoesOnFromTheHolder(t *testing.T) {
	one := rule(t, soleLocker(t, simulation.NewDisk(12)), 1)
	if done := one.copied(messages.Member{Name: "n", Address: "nowhere", Disk: "n"}, 0, newCopySpan()); done != 0 {
		t.Fatal("copied without a source: ", done)
	}
	one.lock.Lock()
	one.press.Members = append(one.press.Members, messages.Member{Name: "s", Address: "s", Disk: "s"})
	one.press.Matched("s#s", one.press.Done())
	one.lock.Unlock()
	room := transport.NewRoom()
	one.server.Node.Wire = room.Transport("m")
	first := true
	_ = room.Transport("n").Serve(func(kind messages.Kind, body []byte) ([]byte, error) {
		order := &messages.CopyOrder{}
		if kind != messages.KindCopy || transport.Read(body, order) != nil || order.Source != "s" || order.SourceDisk != "s" {
			t.Error(kind, order)
		}
		if !first {
			return transport.Write(&messages.Appended{})
		}
		first = false
		return transport.Write(&messages.Appended{Granted: true, Last: order.First})
	})
	one.lock.Lock()
	durable := one.press.Done()
	one.lock.Unlock()
	if done := one.copied(messages.Member{Name: "n", Address: "n", Disk: "n"}, 0, newCopySpan()); done != min(1, durable) {
		t.Fatal(done, durable)
	}
}
