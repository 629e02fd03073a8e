package jointer

import (
	"sync"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// tables remembers how far each foreman's table of workers has been read.
type tables struct {
	lock sync.Mutex
	read map[string]pattern.Digest
}

// behind tells whether a foreman's table may hold something that is not known here,
// and from which clock on to ask.
func (tables *tables) behind(address string, told, own pattern.Digest) (since uint64, ask bool) {
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

// learnWorkers gets the roster from a foreman when the process starts.
func (jointer *Jointer) learnWorkers() {
	for {
		addresses := jointer.Stand.Boot.SeedAddresses(almanac.PortForeman)
		for _, entry := range jointer.Stand.Live(bellows.RoleForeman) {
			addresses = append(addresses, entry.Address)
		}
		for _, address := range addresses {
			if jointer.pullWorkers(address, 0) {
				return
			}
		}
		watch.Sleep(almanac.StartPause)
	}
}

func (jointer *Jointer) pullWorkers(address string, since uint64) bool {
	back := &pattern.RosterPush{}
	question := &pattern.RosterPull{From: bellows.Key(jointer.Stand.Own), Since: since}
	if tongs.Ask(jointer.Stand.Wire, address, pattern.KindRosterPull, question, back, almanac.CallTime) != nil {
		return false
	}
	jointer.Bench.Merge(back.Workers, watch.Now())
	jointer.tables.lock.Lock()
	jointer.tables.read[address] = back.Table
	jointer.tables.lock.Unlock()
	return true
}

// heardForeman takes what a foreman's periodic answer says of workers: who is silent,
// and a digest of its table, so that a change that was missed is pulled.
func (jointer *Jointer) heardForeman(address string, answer *pattern.Shuffle) {
	if answer.Workers.Life == 0 {
		return
	}
	if since, ask := jointer.tables.behind(address, answer.Workers, jointer.Bench.Table()); ask {
		jointer.pullWorkers(address, since)
	}
	if answer.Judging {
		jointer.Bench.Judged(answer.Overdue, watch.Now())
	}
}

func (jointer *Jointer) rosterPushed(body []byte) ([]byte, error) {
	push := &pattern.RosterPush{}
	if failure := tongs.Read(body, push); failure != nil {
		return nil, failure
	}
	jointer.Bench.Merge(push.Workers, watch.Now())
	jointer.Stand.Touched(push.From)
	return tongs.Write(&pattern.Nothing{Taken: true})
}
