// Package controller is the control plane: the register of the configuration, the
// registration of workers, and the operator's calls.
package controller

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/configuration/configcheck"
	"lemonarch/internal/control/broadcast"
	"lemonarch/internal/control/contact"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/registerserver"
	"lemonarch/internal/control/workers"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/node"
	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
)

// firstDisk is the identity of every seed's disk at the system's first start, so
// that all of them begin with one and the same set.
const firstDisk = "first"

// Controller is one control process.
type Controller struct {
	Node       *node.Node
	Register   *registerserver.Replica
	checker    *configcheck.Checker
	checking   sync.Mutex
	lock       sync.Mutex
	registry   *workers.Registry
	peers      map[string]*peer
	deliveries map[string]*delivery
	sequence   atomic.Uint64
	// recovered is set once a majority of the acceptors was heard on the workers.
	recovered     atomic.Bool
	shared        sharedRead
	sets          sharedRead
	batches       batches
	startedAt     clock.Instant
	server        *http.Server
	workerFile    *workerFile
	plans         planState
	contact       contactState
	durableDrains durableDrains
	backlog       *broadcast.Backlog
	// fromFile are the workers of the file, until a majority was heard on them.
	fromFile []messages.Worker
}

// New opens the disk and prepares the process.
func New(nodeSettings *settings.Settings, log hclog.Logger) (*Controller, error) {
	disk, err := openDisk(nodeSettings)
	if err != nil {
		return nil, err
	}
	return newOn(disk, nodeSettings, log)
}

// newOn prepares the process on an open disk.
func newOn(disk recordlog.Disk, nodeSettings *settings.Settings, log hclog.Logger) (*Controller, error) {
	identity := randomName()
	var first []messages.Member
	own := nodeSettings.InternalAddress(nodeSettings.Address, constants.PortController)
	if nodeSettings.Bootstrap {
		for _, address := range nodeSettings.SeedAddresses(constants.PortController) {
			first = append(first, messages.Member{Disk: firstDisk, Address: address})
			if address == own {
				identity = firstDisk
			}
		}
	}
	replica, err := registerserver.Open(disk, first, identity)
	if err != nil {
		return nil, err
	}
	named, err := registerserver.OpenNamed(disk, PlansRegister, first, identity)
	if err != nil {
		return nil, err
	}
	checker, err := configcheck.New()
	if err != nil {
		return nil, err
	}
	retained, list, err := openWorkerFile(disk)
	if err != nil {
		return nil, err
	}
	told := replica.Disk()
	if !isVoter(nodeSettings) {
		// Told so, that those with a disk take the place that a seed list gave us.
		told = ""
	}
	runtime := node.New(nodeSettings, membership.RoleController, constants.PortController, told, log)
	replica.Node, named.Node = runtime, runtime
	controller := &Controller{Node: runtime, Register: replica, checker: checker, registry: workers.New(nodeSettings.Heartbeat()),
		peers: map[string]*peer{}, deliveries: map[string]*delivery{}, startedAt: clock.Now(), workerFile: retained, plans: planState{replica: named},
		backlog: broadcast.NewBacklog(), fromFile: list}
	controller.contact.lease = contact.New()
	controller.durableDrains.phases = map[string]messages.Phase{}
	replica.OnAccepted = controller.onAccepted
	controller.batches.afterWindow = afterBatchWindow
	controller.batches.broadcast = func(list []messages.Worker) {
		controller.broadcast(&messages.RelayRequest{Workers: list}, constants.BroadcastTimeout)
	}
	// Numbers of updates must differ from those of an earlier life.
	controller.sequence.Store(uint64(runtime.Self.Incarnation))
	controller.registerCalls()
	controller.reports()
	go controller.workerFile.run(runtime.Stop, controller.workersToPersist, log)
	return controller, nil
}

func randomName() string {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}

func handle[Question any, Pointer interface {
	*Question
	transport.Unmarshaler
}](function func(req Pointer) (transport.Marshaler, error)) node.Handler {
	return func(body []byte) ([]byte, error) {
		req := Pointer(new(Question))
		if err := transport.Decode(body, req); err != nil {
			return nil, err
		}
		resp, err := function(req)
		if err != nil {
			return nil, err
		}
		return transport.Encode(resp)
	}
}

func (c *Controller) registerCalls() {
	runtime := c.Node
	runtime.Handle(messages.KindPrepare, handle(func(req *messages.PrepareRequest) (transport.Marshaler, error) {
		resp, err := c.Register.Prepare(req)
		return &resp, err
	}))
	runtime.Handle(messages.KindAccept, handle(func(req *messages.AcceptRequest) (transport.Marshaler, error) {
		resp, err := c.Register.Accept(req)
		return &resp, err
	}))
	runtime.Handle(messages.KindLease, handle(func(req *messages.LeaseRequest) (transport.Marshaler, error) {
		resp := c.Register.GrantLease(*req)
		return &resp, nil
	}))
	runtime.Handle(messages.KindConfigPull, handle(c.handleConfigPull))
	runtime.Handle(messages.KindRegisterRead, handle(func(_ *messages.Ack) (transport.Marshaler, error) {
		value, err := messages.RegisterValue{}, ErrNoContact.New("sets")
		if c.awaitContact() {
			value, err = c.sets.Read(c.Register.ReadSets)
		}
		if err != nil {
			// The sets last seen in force still help a newcomer to find the acceptors.
			known, seen := c.Register.Chosen()
			if !seen {
				return &messages.RegisterResponse{}, nil
			}
			value = known
		}
		value.Body = nil
		return &messages.RegisterResponse{Applied: err == nil, Known: true, Value: value}, nil
	}))
	runtime.Handle(messages.KindRegisterChange, handle(c.handleRegisterChange))
	c.registerTables()
	c.registerContact()
	c.registerRecovery()
	c.registerNamed()
	c.registerPlans()
}

// Run serves until told to stop.
func (c *Controller) Run() error {
	runtime := c.Node
	if err := runtime.Start(); err != nil {
		return err
	}
	go c.catchUpFromPeers()
	go clock.Every(constants.ContactPeriod, runtime.Stop, c.contactRound)
	go clock.Every(constants.BacklogPeriod, runtime.Stop, c.retryBacklog)
	go clock.Every(constants.ControllerHeartbeatPeriod, runtime.Stop, c.heartbeatPeers)
	go clock.Every(constants.ReconcilePeriod, runtime.Stop, c.reconcileSet)
	go clock.Every(constants.ReconcilePeriod, runtime.Stop, func() { c.reconcileNamedSet(c.plans.replica) })
	go clock.Every(constants.PlanPeriod, runtime.Stop, c.reconcilePlan)
	c.server = &http.Server{Addr: runtime.Settings.Bind.Control, Handler: c.calls(), ReadHeaderTimeout: constants.BulkCallTimeout}
	runtime.Log.Info("serving", "control", runtime.Settings.Bind.Control, "disk", runtime.Self.Disk)
	err := c.server.ListenAndServe()
	if err == http.ErrServerClosed {
		return nil
	}
	return node.ErrUnavailable.Wrap(err, "control")
}

// Shutdown stops in order: calls under way are answered first.
func (c *Controller) Shutdown() {
	c.Node.Drain()
	stopServer(c.server)
	c.Node.Shutdown()
}
