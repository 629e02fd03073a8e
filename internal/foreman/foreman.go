// Package foreman is the control plane: the register of the configuration, the
// registration of workers, and the operator's calls.
package foreman

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/boot"
	"lemonarch/internal/caliper"
	"lemonarch/internal/pattern"
	"lemonarch/internal/roster"
	"lemonarch/internal/tongs"
	"lemonarch/internal/trestle"
	"lemonarch/internal/watch"
)

// firstDisk is the identity of every seed's disk at the system's first start, so
// that all of them begin with one and the same set.
const firstDisk = "first"

// Foreman is one control process.
type Foreman struct {
	Stand    *trestle.Trestle
	Register *Register
	caliper  *caliper.Caliper
	checking sync.Mutex
	lock     sync.Mutex
	roster   *roster.Roster
	peers    map[string]*peer
	relays   map[string]*delivery
	number   atomic.Uint64
	met      atomic.Bool
	shared   sharedRead
	sets     sharedRead
	batches  batches
	begun    watch.Moment
	server   *http.Server
	memory   *memory
	plans    plans
}

// New opens the disk and prepares the process.
func New(settings *boot.Boot, log hclog.Logger) (*Foreman, error) {
	disk, failure := openDisk(settings)
	if failure != nil {
		return nil, failure
	}
	identity := randomName()
	var first []pattern.Member
	own := settings.InternalAddress(settings.Address, almanac.PortForeman)
	if settings.Bootstrap {
		for _, address := range settings.SeedAddresses(almanac.PortForeman) {
			first = append(first, pattern.Member{Disk: firstDisk, Address: address})
			if address == own {
				identity = firstDisk
			}
		}
	}
	register, failure := OpenRegister(disk, first, identity)
	if failure != nil {
		return nil, failure
	}
	named, failure := openNamed(disk, PlansRegister, first, identity)
	if failure != nil {
		return nil, failure
	}
	checker, failure := caliper.New()
	if failure != nil {
		return nil, failure
	}
	kept, workers, failure := openMemory(disk)
	if failure != nil {
		return nil, failure
	}
	told := register.acceptor.Disk()
	if !votes(settings) {
		// Told so, that those with a disk take the place that a seed list gave us.
		told = ""
	}
	stand := trestle.New(settings, bellows.RoleForeman, almanac.PortForeman, told, log)
	register.stand, named.stand = stand, stand
	foreman := &Foreman{Stand: stand, Register: register, caliper: checker, roster: roster.New(settings.Heartbeat()),
		peers: map[string]*peer{}, relays: map[string]*delivery{}, begun: watch.Now(), memory: kept, plans: plans{register: named}}
	for _, worker := range workers {
		foreman.roster.Merge(worker, watch.Now())
	}
	register.accepted = foreman.accepted
	foreman.batches.later = afterWindow
	foreman.batches.spread = func(workers []pattern.Worker) {
		foreman.spread(&pattern.Relay{Workers: workers}, almanac.TreeTime)
	}
	// Numbers of words must differ from those of an earlier life.
	foreman.number.Store(uint64(stand.Own.Life))
	foreman.answerers()
	foreman.reports()
	return foreman, nil
}

func randomName() string {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}

func answer[Question any, Pointer interface {
	*Question
	tongs.Readable
}](function func(question Pointer) (tongs.Writable, error)) trestle.Answerer {
	return func(body []byte) ([]byte, error) {
		question := Pointer(new(Question))
		if failure := tongs.Read(body, question); failure != nil {
			return nil, failure
		}
		back, failure := function(question)
		if failure != nil {
			return nil, failure
		}
		return tongs.Write(back)
	}
}

func (foreman *Foreman) answerers() {
	stand := foreman.Stand
	stand.Answer(pattern.KindPrepare, answer(func(question *pattern.Prepare) (tongs.Writable, error) {
		back, failure := foreman.Register.Prepare(question)
		return &back, failure
	}))
	stand.Answer(pattern.KindAccept, answer(func(question *pattern.Accept) (tongs.Writable, error) {
		back, failure := foreman.Register.Accept(question)
		return &back, failure
	}))
	stand.Answer(pattern.KindAsk, answer(func(question *pattern.HoldAsk) (tongs.Writable, error) {
		back := foreman.Register.Hold(*question)
		return &back, nil
	}))
	stand.Answer(pattern.KindConfigPull, answer(foreman.pulled))
	stand.Answer(pattern.KindRegisterRead, answer(func(_ *pattern.Nothing) (tongs.Writable, error) {
		value, failure := foreman.sets.Read(foreman.Register.ReadSets)
		if failure != nil {
			// The sets last known still help a newcomer to find the acceptors.
			value = foreman.Register.Known()
		}
		value.Body = nil
		return &pattern.DutyChanged{Done: failure == nil, Known: true, Value: value}, nil
	}))
	stand.Answer(pattern.KindDutyChange, answer(foreman.changeDuty))
	foreman.tableAnswerers()
	foreman.namedAnswerers()
	foreman.planAnswerers()
}

// Run serves until told to stop.
func (foreman *Foreman) Run() error {
	stand := foreman.Stand
	if failure := stand.Start(); failure != nil {
		return failure
	}
	go foreman.relearn()
	go foreman.remembering()
	go watch.Every(almanac.RosterPeriod, stand.Stop, foreman.beatOthers)
	go watch.Every(almanac.ShufflePeriod, stand.Stop, foreman.tendSet)
	go watch.Every(almanac.PlanPeriod, stand.Stop, foreman.tendPlans)
	foreman.server = &http.Server{Addr: stand.Boot.Bind.Control, Handler: foreman.calls(), ReadHeaderTimeout: almanac.BulkCallTime}
	stand.Log.Info("serving", "control", stand.Boot.Bind.Control, "disk", stand.Own.Disk)
	failure := foreman.server.ListenAndServe()
	if failure == http.ErrServerClosed {
		return nil
	}
	return trestle.Unable.Wrap(failure, "control")
}

// Leave stops in order: calls under way are answered first.
func (foreman *Foreman) Leave() {
	foreman.Stand.Leave()
	errandStop(foreman.server)
	foreman.Stand.End()
}

// relearn gets from peers what this process can't know after its start.
func (foreman *Foreman) relearn() {
	stand := foreman.Stand
	// Whoever does not know the fleet can't tell it of a drain: peers are asked until one
	// has given its tables.
	for foreman.learning() {
		foreman.beatOthers()
		watch.Sleep(2 * almanac.StartPause)
	}
	for round := 0; ; round++ {
		select {
		case <-stand.Stop:
			return
		default:
		}
		foreman.learnSets()
		if len(foreman.Register.Known().Acceptors) > 0 {
			if value, failure := foreman.Register.Read(); failure == nil {
				foreman.chosen(value, false)
				_, _ = foreman.planRead()
				return
			}
		}
		watch.Sleep(almanac.StartPause)
	}
}

// learnSets asks other foremen who the acceptors are: one with an empty disk, or
// one that was away for long, knows of none or of old ones.
func (foreman *Foreman) learnSets() {
	stand := foreman.Stand
	addresses := stand.Boot.SeedAddresses(almanac.PortForeman)
	for _, entry := range stand.Live(bellows.RoleForeman) {
		addresses = append(addresses, entry.Address)
	}
	asked := map[string]bool{stand.Own.Address: true}
	for _, address := range addresses {
		if asked[address] {
			continue
		}
		asked[address] = true
		back := &pattern.DutyChanged{}
		if tongs.Ask(stand.Wire, address, pattern.KindRegisterRead, &pattern.Nothing{}, back, almanac.CallTime) == nil {
			value := back.Value
			// Without its body this value is good for its sets only.
			foreman.Register.LearnSets(value)
		}
	}
}

func (foreman *Foreman) pulled(question *pattern.ConfigPull) (tongs.Writable, error) {
	if question.Known < 0 || foreman.Stand.Config() == nil {
		value, failure := foreman.shared.Read(foreman.Register.Read)
		if failure != nil {
			return nil, failure
		}
		foreman.chosen(value, false)
		return &pattern.ConfigPush{Generation: value.Current.Generation, Body: value.Body}, nil
	}
	config := foreman.Stand.Config()
	return &pattern.ConfigPush{Generation: config.Generation, Body: config.Body}, nil
}
