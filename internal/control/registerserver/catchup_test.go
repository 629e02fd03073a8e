package registerserver_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/register"
	"lemonarch/internal/control/registerserver"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
)

// member is one process with a register on a disk in memory.
type member struct {
	replica *registerserver.Replica
	disk    *recordlog.MemoryDisk
	wire    *transport.Memory
}

// cluster is some members joined in memory.
type cluster struct {
	test    *testing.T
	room    *transport.MemoryNetwork
	first   []messages.Member
	members map[string]*member
	taken   []messages.Version
}

func newCluster(t *testing.T, names ...string) *cluster {
	t.Helper()

	c := &cluster{test: t, room: transport.NewMemoryNetwork(), members: map[string]*member{}}
	for _, name := range names {
		c.first = append(c.first, messages.Member{Name: name, Address: name + ":7000", Disk: "first"})
	}
	for _, name := range names {
		c.members[name] = &member{disk: recordlog.NewMemoryDisk()}
		c.start(name)
	}
	return c
}

// start opens the disk of a member and serves.
func (c *cluster) start(name string) *member {
	started := c.members[name]
	replica, err := registerserver.Open(started.disk, c.first, "first")
	if err != nil {
		c.test.Fatal(err)
	}
	runtime := agent.New(&settings.Settings{NodeName: name, Address: name, InternalPorts: []int{7000, 7010}}, "controller", 0, "first", hclog.NewNullLogger())
	runtime.Self.Address = name + ":7000"
	started.wire = c.room.Transport(runtime.Self.Address)
	runtime.Transport, replica.Node, started.replica = started.wire, runtime, replica
	handler := func(kind messages.Kind, body []byte) ([]byte, error) {
		if kind == messages.KindPrepare {
			req := &messages.PrepareRequest{}
			if err := transport.Decode(body, req); err != nil {
				return nil, err
			}
			resp, err := replica.Prepare(req)
			if err != nil {
				return nil, err
			}
			return transport.Encode(&resp)
		}
		req := &messages.AcceptRequest{}
		if err := transport.Decode(body, req); err != nil {
			return nil, err
		}
		resp, err := replica.Accept(req)
		if err != nil {
			return nil, err
		}
		return transport.Encode(&resp)
	}
	if err = started.wire.Serve(handler); err != nil {
		c.test.Fatal(err)
	}
	return started
}

// clearly makes a call as an operator does: where a majority did not answer in time, as
// happens on a machine under load, the same order is sent again.
func clearly[Value any](call func() (Value, error)) (Value, error) {
	const tries = 20
	for attempt := 1; ; attempt++ {
		value, err := call()
		if attempt == tries || !errs.Is(err, register.ErrNoQuorum) && !errs.Is(err, register.ErrOutcomeUnknown) {
			return value, err
		}
	}
}

// replace has a member put a version in force, until it has a clear result.
func (c *cluster) replace(name string, version messages.Version, body []byte) (register.Result, error) {
	return clearly(func() (register.Result, error) {
		_, result, err := c.members[name].replica.Replace(version, body)
		return result, err
	})
}

// change has a member take one more version.
func (c *cluster) change(name string) {
	base := int64(len(c.taken))
	version := messages.Version{Generation: base + 1, Base: base, Hash: fmt.Sprintf("%064d", base)}
	if result, err := c.replace(name, version, make([]byte, 1000)); err != nil || !result.InForce() {
		c.test.Fatalf("change %d: %d %v", base, result, err)
	}
	c.taken = append(c.taken, version)
}

// received is how many bytes of requests and responses came to a member.
func (c *cluster) heard(name string) int64 {
	total := int64(0)
	for _, reading := range c.members[name].wire.Meter().Samples() {
		total += reading.Received.Bytes
	}
	return total
}

// size is the length of a member's file.
func (c *cluster) size(name, file string) int64 {
	opened, err := c.members[name].disk.Open(file)
	if err != nil {
		c.test.Fatal(err)
	}
	length, _ := opened.Size()
	return length
}

// catchUp stops c, has others take changes, starts c again and has eight orders come at
// once. It gives the bytes that c received until it had the newest value.
func catchUp(t *testing.T, changes int) int64 {
	t.Helper()

	cluster := newCluster(t, "a", "b", "c")
	cluster.change("a")
	cluster.members["c"].wire.Close()
	for range changes {
		cluster.change("a")
	}
	stale := cluster.members["c"].replica.Known().Current.Generation
	restarted := cluster.start("c")
	before := cluster.heard("c")
	// It leads with the newest state only, though its own is old.
	if value, err := clearly(restarted.replica.Read); err != nil || value.Current.Generation != int64(changes)+1 {
		t.Fatalf("after %d changes (its own state is of %d) it reads %d: %v", changes, stale, value.Current.Generation, err)
	}
	cluster.change("c")
	cluster.race()
	// A majority is enough for each change: the member is asked once more at most times.
	for attempts := 0; restarted.replica.Record().Value.Current != cluster.taken[len(cluster.taken)-1]; attempts++ {
		if attempts == 20 {
			t.Fatalf("holds %v, newest is %v", restarted.replica.Record().Value.Current, cluster.taken[len(cluster.taken)-1])
		}
		cluster.change("c")
	}
	used := cluster.heard("c") - before
	head := restarted.replica.Record().Value.Archive
	for _, version := range cluster.taken[:len(cluster.taken)-64] {
		req := &messages.ArchiveRequest{Head: head, Generation: version.Generation, Fingerprint: register.Fingerprint(version)}
		resp, err := restarted.replica.Prepare(&messages.PrepareRequest{Disk: "first", Query: true, WithoutBody: true, Archive: req})
		if err != nil || resp.Archive.Status != messages.VersionCommitted {
			t.Fatalf("the archive of the restarted member says %d of %v: %v", resp.Archive.Status, version, err)
		}
	}
	for _, file := range []string{"register", "register-taken"} {
		if length := cluster.size("a", file); length > 5<<20 {
			t.Fatalf("%s is %d bytes long", file, length)
		}
	}
	t.Logf("%d changes missed: %d bytes heard, files of a member that was there %d and %d bytes", changes, used,
		cluster.size("a", "register"), cluster.size("a", "register-taken"))
	return used
}

// race has eight orders on one base come at once through all members.
func (c *cluster) race() {
	base := int64(len(c.taken))
	var group sync.WaitGroup
	var lock sync.Mutex
	var won []messages.Version
	for index := range 8 {
		name := c.first[index%len(c.first)].Name
		version := messages.Version{Generation: base + 1, Base: base, Hash: fmt.Sprintf("race %d", index)}
		group.Add(1)
		go func() {
			defer group.Done()
			result, err := c.replace(name, version, nil)
			if err != nil {
				c.test.Errorf("%s has no clear result: %v", version.Hash, err)
			}
			if err == nil && result.InForce() {
				lock.Lock()
				won = append(won, version)
				lock.Unlock()
			}
		}()
	}
	group.Wait()
	if len(won) != 1 {
		c.test.Fatalf("%d of eight orders on one base were acknowledged", len(won))
	}
	c.taken = append(c.taken, won...)
}

// A member that missed changes catches up with one value, whatever their number, and
// with 8 bytes a version of archive.
func TestCatchUpIsStateNotHistory(t *testing.T) {
	few, many := catchUp(t, 300), catchUp(t, 2300)
	archive := int64(2000 * 12)
	if many-few > archive+8000 {
		t.Fatalf("2,000 more changes took %d more bytes", many-few)
	}
}
