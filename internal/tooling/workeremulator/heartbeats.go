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

// ErrNotAcknowledged means that a call was not acknowledged.
var ErrNotAcknowledged = errs.Define("call not acknowledged")

// HeartbeatSender registers a worker by sending heartbeats.
type HeartbeatSender struct {
	Worker *Worker
	// Address is the address at which the worker serves requests. Controllers are the addresses
	// that may be called.
	Address     string
	Controllers []string

	// lock guards target, nextController and count. target is the address that a response has named for
	// further calls; empty if none has, or if a call to it has failed since. nextController is the index
	// of the controller that the next call starts with, modulo their number, and count the number of
	// calls so far.
	lock           sync.Mutex
	target         string
	nextController int
	count          int64
	client         http.Client
}

// NewHeartbeatSender returns a sender that has sent nothing yet.
func NewHeartbeatSender(worker *Worker, address string, controllers []string) *HeartbeatSender {
	sender := &HeartbeatSender{Worker: worker, Address: address, Controllers: controllers}
	sender.client = http.Client{Timeout: constants.EmulatorHeartbeatWait, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > constants.EmulatorRedirects {
			return ErrNotAcknowledged.New("too many redirects")
		}
		return nil
	}}
	return sender
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

// SendHeartbeat sends one heartbeat to the first address that acknowledges it. The target that an earlier
// response named, if any, is called first, and is forgotten once a call to it fails. The
// controllers follow, and each call starts with the next one of them.
func (b *HeartbeatSender) SendHeartbeat() error { return b.call("/-/Workers.Heartbeat/") }

// Depart reports that the worker has departed.
func (b *HeartbeatSender) Depart() error { return b.call("/-/Workers.Depart/") }

func (b *HeartbeatSender) call(path string) error {
	b.lock.Lock()
	b.count++
	addresses := []string{}
	if b.target != "" {
		addresses = append(addresses, b.target)
	}
	for i := range b.Controllers {
		addresses = append(addresses, b.Controllers[(b.nextController+i)%len(b.Controllers)])
	}
	b.nextController++
	count, target := b.count, b.target
	b.lock.Unlock()
	settings := &b.Worker.Settings
	body := heartbeatBody{Backend: settings.Service, Address: b.Address, Zone: settings.Zone, Generation: "v1", Capacity: settings.Shape.Capacity,
		Phase: "steady", Stage: "both", Models: b.Worker.models(), Count: count}
	b.Worker.lock.Lock()
	body.WarmupMs = max(clock.ToMilliseconds(b.Worker.warmUntil.Sub(b.Worker.clockValue.Now())), 0)
	if b.Worker.draining {
		body.Phase = "draining"
	}
	b.Worker.lock.Unlock()
	text, err := json.Marshal(body)
	if err != nil {
		return ErrNotAcknowledged.Wrap(err, "encode request body")
	}
	err = ErrNotAcknowledged.New("no controller address to call")
	for _, address := range addresses {
		var next string
		if next, err = b.send("http://"+address+path+settings.ID, text); err == nil {
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

// send makes one call. Only a 2xx response of limited size that arrives within the timeout
// counts as an acknowledgement.
func (b *HeartbeatSender) send(url string, text []byte) (target string, err error) {
	resp, err := b.client.Post(url, "application/json", bytes.NewReader(text))
	if err != nil {
		return "", ErrNotAcknowledged.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, constants.EmulatorHeartbeatBytes+1))
	if err != nil {
		return "", ErrNotAcknowledged.Wrap(err, "read response")
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 || len(body) > constants.EmulatorHeartbeatBytes {
		return "", ErrNotAcknowledged.New(resp.Status)
	}
	var received struct {
		Target string `json:"beat-target"`
	}
	// The response body may be empty.
	_ = json.Unmarshal(body, &received)
	return received.Target, nil
}

// SendUntil sends heartbeats until the context ends.
func (b *HeartbeatSender) SendUntil(until contexts.Context, period clock.Duration) {
	_ = b.SendHeartbeat()
	clock.Every(period, until.Done(), func() { _ = b.SendHeartbeat() })
}

// DrainAndShutDown reports that the worker is draining. Once that is acknowledged, or after three
// attempts more than there are controllers, it continues to serve for the drain time and
// constants.EmulatorLeaveSlack, then departs and shuts down.
func (b *HeartbeatSender) DrainAndShutDown(drain clock.Duration) {
	b.Worker.Drain()
	for attempts := 0; b.SendHeartbeat() != nil && attempts < len(b.Controllers)+2; attempts++ {
		clock.Sleep(constants.LabRetry)
	}
	clock.Sleep(drain + constants.EmulatorLeaveSlack)
	_ = b.Depart()
	b.Worker.Shutdown(constants.LabGrace)
}
