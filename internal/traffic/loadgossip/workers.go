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
func (tables *tables) behind(address string, told, own messages.Digest) (since uint64, ask bool) {
	tables.lock.Lock()
	defer tables.lock.Unlock()
	read := tables.read[address]
	if told.Sum == own.Sum {
		tables.read[address] = told
		return 0, false
	}
	if read.Life != told.Life {
		return 0, true
	}
	return read.Clock, told.Clock > read.Clock
}

// learnWorkers gets the workers from a controller when the process starts.
func (gossip *Gossip) learnWorkers() {
	for {
		addresses := gossip.Node.Settings.SeedAddresses(constants.PortController)
		for _, entry := range gossip.Node.Live(membership.RoleController) {
			addresses = append(addresses, entry.Address)
		}
		for _, address := range addresses {
			if gossip.pullWorkers(address, 0) {
				return
			}
		}
		clock.Sleep(constants.StartPause)
	}
}

func (gossip *Gossip) pullWorkers(address string, since uint64) bool {
	back := &messages.RosterPush{}
	question := &messages.RosterPull{From: membership.Key(gossip.Node.Own), Since: since}
	if transport.Ask(gossip.Node.Wire, address, messages.KindRosterPull, question, back, constants.CallTime) != nil {
		return false
	}
	gossip.Scheduler.Merge(back.Workers, clock.Now())
	gossip.tables.lock.Lock()
	gossip.tables.read[address] = back.Table
	gossip.tables.lock.Unlock()
	return true
}

// heardController takes what a controller's periodic answer says of workers: who is silent,
// and a digest of its table, so that a change that was missed is pulled.
func (gossip *Gossip) heardController(address string, answer *messages.Shuffle) {
	if answer.Workers.Life == 0 {
		return
	}
	if since, ask := gossip.tables.behind(address, answer.Workers, gossip.Scheduler.Table()); ask {
		gossip.pullWorkers(address, since)
	}
	if answer.Judging {
		gossip.Scheduler.Judged(answer.Overdue, clock.Now())
	}
}

func (gossip *Gossip) rosterPushed(body []byte) ([]byte, error) {
	push := &messages.RosterPush{}
	if err := transport.Read(body, push); err != nil {
		return nil, err
	}
	gossip.Scheduler.Merge(push.Workers, clock.Now())
	gossip.Node.Touched(push.From)
	return transport.Write(&messages.Nothing{Taken: true})
}
