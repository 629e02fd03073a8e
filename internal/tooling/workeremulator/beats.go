package workeremulator

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/platform/errs"
)

// ErrNotAcknowledged is the error of a call that nobody acknowledged.
var ErrNotAcknowledged = errs.Define("call not acknowledged")

// Beater registers a worker by its calls.
type Beater struct {
	Worker *Worker
	// Address is where the worker serves; Controls are those who may be called.
	Address  string
	Controls []string

	lock           sync.Mutex
	target         string
	nextController int
	count          int64
	client         http.Client
}

// NewBeater makes one.
func NewBeater(worker *Worker, address string, controls []string) *Beater {
	beater := &Beater{Worker: worker, Address: address, Controls: controls}
	beater.client = http.Client{Timeout: constants.EmulatorHeartbeatWait, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > constants.EmulatorRedirects {
			return ErrNotAcknowledged.New("redirected too often")
		}
		return nil
	}}
	return beater
}

type heartbeatBody struct {
	Backend    string        `json:"backend"`
	Address    string        `json:"address"`
	Zone       string        `json:"zone"`
	Generation string        `json:"generation"`
	Capacity   int           `json:"capacity"`
	Phase      string        `json:"phase"`
	WarmupMs   float64       `json:"warmup-left-ms"`
	Stage      string        `json:"stage"`
	Models     []modelReport `json:"models"`
	Count      int64         `json:"call-count"`
}

// Beat sends one heartbeat. The target of an earlier answer is called first, and is
// forgotten once a beat fails there; then the controls come, by turns.
func (b *Beater) Beat() error { return b.call("/-/Workers.Heartbeat/") }

// Depart says that the worker has gone.
func (b *Beater) Depart() error { return b.call("/-/Workers.Depart/") }

func (b *Beater) call(path string) error {
	b.lock.Lock()
	b.count++
	addresses := []string{}
	if b.target != "" {
		addresses = append(addresses, b.target)
	}
	for i := range b.Controls {
		addresses = append(addresses, b.Controls[(b.nextController+i)%len(b.Controls)])
	}
	b.nextController++
	count, target := b.count, b.target
	b.lock.Unlock()
	nodeSettings := &b.Worker.Settings
	body := heartbeatBody{Backend: nodeSettings.Service, Address: b.Address, Zone: nodeSettings.Zone, Generation: "v1", Capacity: nodeSettings.Shape.Capacity,
		Phase: "steady", Stage: "both", Models: b.Worker.models(), Count: count}
	b.Worker.lock.Lock()
	body.WarmupMs = max(clock.ToMilliseconds(b.Worker.warmUntil.Sub(b.Worker.clockValue.Now())), 0)
	if b.Worker.leaving {
		body.Phase = "draining"
	}
	b.Worker.lock.Unlock()
	text, err := json.Marshal(body)
	if err != nil {
		return ErrNotAcknowledged.Wrap(err, "body")
	}
	err = ErrNotAcknowledged.New("nobody to call")
	for _, address := range addresses {
		var next string
		if next, err = b.send("http://"+address+path+nodeSettings.ID, text); err == nil {
			b.lock.Lock()
			if next != "" {
				b.target = next
			}
			b.lock.Unlock()
			return nil
		}
		if address == target {
			b.lock.Lock()
			b.target = ""
			b.lock.Unlock()
		}
	}
	return err
}

// send makes one call; an acknowledgement is a 2xx of bounded size in time.
func (b *Beater) send(url string, text []byte) (target string, err error) {
	resp, err := b.client.Post(url, "application/json", bytes.NewReader(text))
	if err != nil {
		return "", ErrNotAcknowledged.Wrap(err, "call")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, constants.EmulatorHeartbeatBytes+1))
	if err != nil {
		return "", ErrNotAcknowledged.Wrap(err, "answer")
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 || len(body) > constants.EmulatorHeartbeatBytes {
		return "", ErrNotAcknowledged.New(resp.Status)
	}
	var received struct {
		Target string `json:"beat-target"`
	}
	// An answer need not hold anything.
	_ = json.Unmarshal(body, &received)
	return received.Target, nil
}

// Keep sends heartbeats until the context ends.
func (b *Beater) Keep(until contexts.Context, period clock.Duration) {
	_ = b.Beat()
	clock.Every(period, until.Done(), func() { _ = b.Beat() })
}

// LeaveInOrder says that the worker is draining, serves on for a while after that
// was acknowledged, departs and ends.
func (b *Beater) LeaveInOrder(drain clock.Duration) {
	b.Worker.Leave()
	for attempts := 0; b.Beat() != nil && attempts < len(b.Controls)+2; attempts++ {
		clock.Sleep(constants.LabRetry)
	}
	clock.Sleep(drain + constants.EmulatorLeaveSlack)
	_ = b.Depart()
	b.Worker.End(constants.LabGrace)
}
