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

// member is one process with a register on an in-memory disk.
type member struct {
	replica *registerserver.Replica
	disk    *recordlog.MemoryDisk
	wire    *transport.Memory
}

// cluster is a set of members connected by an in-memory network.
type cluster struct {
	test      *testing.T
	network   *transport.MemoryNetwork
	first     []messages.Member
	members   map[string]*member
	committed []messages.Version
}

func newCluster(t *testing.T, names ...string) *cluster {
	t.Helper()

	c := &cluster{test: t, network: transport.NewMemoryNetwork(), members: map[string]*member{}}
	for _, name := range names {
		c.first = append(c.first, messages.Member{Name: name, Address: name + ":7000", Disk: "first"})
	}
	for _, name := range names {
		c.members[name] = &member{disk: recordlog.NewMemoryDisk()}
		c.start(name)
	}
	return c
}

// start opens the disk of a member and serves requests.
func (c *cluster) start(name string) *member {
	started := c.members[name]
	replica, err := registerserver.Open(started.disk, c.first, "first")
	if err != nil {
		c.test.Fatal(err)
	}
	runtime := agent.New(&settings.Settings{NodeName: name, Address: name, InternalPorts: []int{7000, 7010}}, "controller", 0, "first", hclog.NewNullLogger())
	runtime.Self.Address = name + ":7000"
	started.wire = c.network.Transport(runtime.Self.Address)
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

// retryUntilKnown makes a call as an operator does: if no majority responds in time, as happens on
// a machine under load, the same request is sent again.
func retryUntilKnown[Value any](call func() (Value, error)) (Value, error) {
	const maxAttempts = 20
	for attempt := 1; ; attempt++ {
		value, err := call()
		if attempt == maxAttempts || !errs.Is(err, register.ErrNoQuorum) && !errs.Is(err, register.ErrOutcomeUnknown) {
			return value, err
		}
	}
}

// replace has a member put a version in force, and retries until the outcome is known.
func (c *cluster) replace(name string, version messages.Version, body []byte) (register.Result, error) {
	return retryUntilKnown(func() (register.Result, error) {
		_, result, err := c.members[name].replica.Replace(version, body)
		return result, err
	})
}

// change has a member commit one more version.
func (c *cluster) change(name string) {
	base := int64(len(c.committed))
	version := messages.Version{Generation: base + 1, Base: base, Hash: fmt.Sprintf("%064d", base)}
	if result, err := c.replace(name, version, make([]byte, 1000)); err != nil || !result.InForce() {
		c.test.Fatalf("change on base %d: result %d, error %v, want it in force", base, result, err)
	}
	c.committed = append(c.committed, version)
}

// received returns the number of bytes of requests and responses that a member received.
func (c *cluster) received(name string) int64 {
	total := int64(0)
	for _, reading := range c.members[name].wire.Meter().Samples() {
		total += reading.Received.Bytes
	}
	return total
}

// size returns the length of a file of a member.
func (c *cluster) size(name, file string) int64 {
	opened, err := c.members[name].disk.Open(file)
	if err != nil {
		c.test.Fatal(err)
	}
	length, _ := opened.Size()
	return length
}

// catchUp stops c, commits changes at the others, starts c again and sends eight requests at once.
// It returns the number of bytes that c received until it had the newest value.
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
	before := cluster.received("c")
	// A read at the restarted member must return the newest value, although its own state is old.
	if value, err := retryUntilKnown(restarted.replica.Read); err != nil || value.Current.Generation != int64(changes)+1 {
		t.Fatalf("after %d changes (own state is of generation %d) read generation %d, want %d; error %v", changes, stale, value.Current.Generation, changes+1, err)
	}
	cluster.change("c")
	cluster.race()
	// A change needs only a majority, so the restarted member may miss some of them.
	for attempts := 0; restarted.replica.Record().Value.Current != cluster.committed[len(cluster.committed)-1]; attempts++ {
		if attempts == 20 {
			t.Fatalf("restarted member has %v after 20 more changes, newest is %v", restarted.replica.Record().Value.Current, cluster.committed[len(cluster.committed)-1])
		}
		cluster.change("c")
	}
	receivedBytes := cluster.received("c") - before
	head := restarted.replica.Record().Value.Archive
	for _, version := range cluster.committed[:len(cluster.committed)-64] {
		req := &messages.ArchiveRequest{Head: head, Generation: version.Generation, Fingerprint: register.Fingerprint(version)}
		resp, err := restarted.replica.Prepare(&messages.PrepareRequest{Disk: "first", Query: true, WithoutBody: true, Archive: req})
		if err != nil || resp.Archive.Status != messages.VersionCommitted {
			t.Fatalf("the archive of the restarted member has status %d for %v, want %d; error %v", resp.Archive.Status, version, messages.VersionCommitted, err)
		}
	}
	for _, file := range []string{"register", "register-taken"} {
		if length := cluster.size("a", file); length > 5<<20 {
			t.Fatalf("file %s has %d bytes, more than 5 MiB", file, length)
		}
	}
	t.Logf("%d changes missed: %d bytes received, files of a member that missed none have %d and %d bytes", changes, receivedBytes,
		cluster.size("a", "register"), cluster.size("a", "register-taken"))
	return receivedBytes
}

// race sends eight requests with the same base at once through all members.
func (c *cluster) race() {
	base := int64(len(c.committed))
	var group sync.WaitGroup
	var lock sync.Mutex
	var acknowledged []messages.Version
	for index := range 8 {
		name := c.first[index%len(c.first)].Name
		version := messages.Version{Generation: base + 1, Base: base, Hash: fmt.Sprintf("race %d", index)}
		group.Add(1)
		go func() {
			defer group.Done()
			result, err := c.replace(name, version, nil)
			if err != nil {
				c.test.Errorf("%s has no known outcome: %v", version.Hash, err)
			}
			if err == nil && result.InForce() {
				lock.Lock()
				acknowledged = append(acknowledged, version)
				lock.Unlock()
			}
		}()
	}
	group.Wait()
	if len(acknowledged) != 1 {
		c.test.Fatalf("%d of eight requests with the same base were acknowledged, want 1", len(acknowledged))
	}
	c.committed = append(c.committed, acknowledged...)
}

// A member that missed changes catches up by receiving one value, regardless of the number of
// changes, and the archive, in which a version takes 8 bytes plus its share of the chunk's header.
// The bound is 12 bytes per version, and 8,000 in all for the rest.
func TestCatchUpTransfersStateNotHistory(t *testing.T) {
	few, many := catchUp(t, 300), catchUp(t, 2300)
	archive := int64(2000 * 12)
	if many-few > archive+8000 {
		t.Fatalf("2,000 more changes took %d more bytes, more than the archive and 8,000 bytes", many-few)
	}
}
