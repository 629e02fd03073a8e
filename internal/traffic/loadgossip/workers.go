package loadgossip

import (
	"sync"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// workerTables records, by controller address, the digest of the controller's table of workers as
// of the last read.
type workerTables struct {
	lock     sync.Mutex
	lastRead map[string]messages.Digest
}

// needsPull reports whether a controller's table may contain entries that this process does not
// have, and the change counter (Digest.Clock) after which to request them, 0 for the complete table.
func (t *workerTables) needsPull(address string, digest, own messages.Digest) (since uint64, pull bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	read := t.lastRead[address]
	if digest.Sum == own.Sum {
		t.lastRead[address] = digest
		return 0, false
	}
	if read.Incarnation != digest.Incarnation {
		return 0, true
	}
	return read.Clock, digest.Clock > read.Clock
}

// syncWorkers reads the table of workers from a controller when the process starts. It retries until
// a read succeeds or the process stops.
func (g *Gossip) syncWorkers() {
	for {
		select {
		case <-g.Node.Stop:
			return
		default:
		}
		addresses := g.Node.Settings.SeedAddresses(constants.PortController)
		for _, controller := range g.Node.Live(membership.RoleController) {
			addresses = append(addresses, controller.Address)
		}
		for _, address := range addresses {
			if g.pullWorkers(address, 0) {
				return
			}
		}
		clock.Sleep(constants.StartBackoff)
	}
}

func (g *Gossip) pullWorkers(address string, since uint64) bool {
	resp := &messages.WorkersUpdate{}
	req := &messages.WorkersPullRequest{From: membership.Key(g.Node.Self), Since: since, Buckets: g.Scheduler.WorkerBucketSums()}
	if transport.Call(g.Node.Transport, address, messages.KindWorkersPull, req, resp, constants.CallTimeout) != nil {
		return false
	}
	g.Scheduler.Merge(resp.Workers, clock.Now())
	g.workerTables.lock.Lock()
	g.workerTables.lastRead[address] = resp.Table
	g.workerTables.lock.Unlock()
	return true
}

// handleControllerReport handles the part of a controller's periodic response that concerns workers:
// the workers whose heartbeats are overdue, and a digest of the controller's table, by which a missed
// change is detected and pulled.
func (g *Gossip) handleControllerReport(address string, resp *messages.Shuffle) {
	if resp.Workers.Incarnation == 0 {
		return
	}
	if since, pull := g.workerTables.needsPull(address, resp.Workers, g.Scheduler.WorkersDigest()); pull {
		g.pullWorkers(address, since)
	}
	if resp.OverdueComplete {
		g.Scheduler.HandleOverdue(resp.Overdue, clock.Now())
	}
}

func (g *Gossip) handleWorkersUpdate(push *messages.WorkersUpdate) (*messages.Ack, error) {
	g.Scheduler.Merge(push.Workers, clock.Now())
	g.Node.NoteContact(push.From)
	return &messages.Ack{Accepted: true}, nil
}
