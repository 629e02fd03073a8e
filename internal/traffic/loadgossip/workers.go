package loadgossip

import (
	"sync"

	"lemonarch/internal/control/membership"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/transport"
)

// tables remembers how far each controller's table of workers has been read.
type tables struct {
	lock sync.Mutex
	read map[string]messages.Digest
}

// behind tells whether a controller's table may hold something that is not known here,
// and from which clock on to ask.
func (t *tables) behind(address string, told, own messages.Digest) (since uint64, ask bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	read := t.read[address]
	if told.Sum == own.Sum {
		t.read[address] = told
		return 0, false
	}
	if read.Incarnation != told.Incarnation {
		return 0, true
	}
	return read.Clock, told.Clock > read.Clock
}

// learnWorkers gets the workers from a controller when the process starts. It ends once it
// has them, or with the process.
func (g *Gossip) learnWorkers() {
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
	back := &messages.WorkersUpdate{}
	question := &messages.WorkersPullRequest{From: membership.Key(g.Node.Self), Since: since}
	if transport.Call(g.Node.Transport, address, messages.KindWorkersPull, question, back, constants.CallTimeout) != nil {
		return false
	}
	g.Scheduler.Merge(back.Workers, clock.Now())
	g.tables.lock.Lock()
	g.tables.read[address] = back.Table
	g.tables.lock.Unlock()
	return true
}

// heardController takes what a controller's periodic answer says of workers: who is silent,
// and a digest of its table, so that a change that was missed is pulled.
func (g *Gossip) heardController(address string, answer *messages.Shuffle) {
	if answer.Workers.Incarnation == 0 {
		return
	}
	if since, ask := g.tables.behind(address, answer.Workers, g.Scheduler.Table()); ask {
		g.pullWorkers(address, since)
	}
	if answer.OverdueComplete {
		g.Scheduler.Judged(answer.Overdue, clock.Now())
	}
}

func (g *Gossip) rosterPushed(push *messages.WorkersUpdate) (*messages.Ack, error) {
	g.Scheduler.Merge(push.Workers, clock.Now())
	g.Node.NoteContact(push.From)
	return &messages.Ack{Accepted: true}, nil
}
