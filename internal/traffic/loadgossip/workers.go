package loadgossip

import (
	"sync"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// workerTables remembers how far each controller's table of workers has been read.
type workerTables struct {
	lock sync.Mutex
	lastRead map[string]messages.Digest
}

// needsPull tells whether a controller's table may hold something that is not known here,
// and from which clock on to ask.
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

// syncWorkers gets the workers from a controller when the process starts. It ends once it
// has them, or with the process.
func (g *Gossip) syncWorkers() {
	for {
		select {
		case <-g.Node.Stop:
			return
		default:
		}
		addresses := g.Node.Settings.SeedAddresses(constants.PortController)
		for _, entry := range g.Node.Live(membership.RoleController) {
			addresses = append(addresses, entry.Address)
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

// handleControllerReport takes what a controller's periodic answer says of workers: who is silent,
// and a digest of its table, so that a change that was missed is pulled.
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
