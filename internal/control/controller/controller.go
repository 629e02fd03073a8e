// Package controller implements the controller process: it connects the servers of the control plane to one
// node and runs their loops. docs/architecture.md describes which server owns which state.
package controller

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/configuration/configcheck"
	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/assignmentserver"
	"lemonarch/internal/control/broadcastserver"
	"lemonarch/internal/control/configserver"
	"lemonarch/internal/control/contactserver"
	"lemonarch/internal/control/membership"
	"lemonarch/internal/control/operatorapi"
	"lemonarch/internal/control/registerserver"
	"lemonarch/internal/control/workerserver"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/inbound"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/process"
	"lemonarch/internal/platform/recordlog"
	"lemonarch/internal/platform/settings"
)

// firstDisk is the disk identity of every seed at the system's first start. All seeds share it, so
// that all of them start with the same acceptor set.
const firstDisk = "first"

// Controller is one controller process.
type Controller struct {
	Node     *agent.Agent
	Register *registerserver.Replica

	sets        *registerserver.SetMaintainer
	workers     *workerserver.Server
	broadcast   *broadcastserver.Server
	configs     *configserver.Server
	assignments *assignmentserver.Server
	operator    *operatorapi.API
	peers       peers
	server      *http.Server
	clients     inbound.Limits
	// listener is set by Run and read by Shutdown.
	listener atomic.Pointer[inbound.Listener]
}

// New opens the data directory and builds the process. Run starts it.
func New(nodeSettings *settings.Settings, log hclog.Logger) (*Controller, error) {
	disk, err := openDisk(nodeSettings)
	if err != nil {
		return nil, err
	}
	return newOnDisk(disk, nodeSettings, log)
}

// openDisk returns the data directory of the settings, or an in-memory disk if none is set.
func openDisk(nodeSettings *settings.Settings) (recordlog.Disk, error) {
	if nodeSettings.DataDir == "" {
		return recordlog.NewMemoryDisk(), nil
	}
	if err := os.MkdirAll(nodeSettings.DataDir, 0o755); err != nil {
		return nil, registerserver.ErrDisk.Wrap(err, "data-dir")
	}
	return recordlog.Directory(nodeSettings.DataDir), nil
}

// newOnDisk builds the process on an open disk.
func newOnDisk(disk recordlog.Disk, nodeSettings *settings.Settings, log hclog.Logger) (*Controller, error) {
	first, identity := firstSet(nodeSettings)
	replica, err := registerserver.Open(disk, first, identity)
	if err != nil {
		return nil, err
	}
	plans, err := registerserver.OpenNamed(disk, assignmentserver.RegisterName, first, identity)
	if err != nil {
		return nil, err
	}
	checker, err := configcheck.New()
	if err != nil {
		return nil, err
	}
	table, err := workerserver.OpenTable(disk, nodeSettings.Heartbeat())
	if err != nil {
		return nil, err
	}
	announcedDisk := replica.Disk()
	if !registerserver.Votes(nodeSettings) {
		// A process that does not vote announces no disk, so that a process with a disk takes over
		// the place in the acceptor set that the seed list assigned to this one.
		announcedDisk = ""
	}
	node := agent.New(nodeSettings, membership.RoleController, constants.PortController, announcedDisk, log)
	replica.Node, plans.Node = node, node
	return wire(node, replica, plans, table, checker), nil
}

// firstSet returns the acceptor set of the system's first start, which is empty at any later start,
// and the identity to write to a disk that is empty.
func firstSet(nodeSettings *settings.Settings) (first []messages.Member, identity string) {
	identity = randomIdentity()
	if !nodeSettings.Bootstrap {
		return nil, identity
	}
	self := nodeSettings.InternalAddress(nodeSettings.Address, constants.PortController)
	for _, address := range nodeSettings.SeedAddresses(constants.PortController) {
		first = append(first, messages.Member{Disk: firstDisk, Address: address})
		if address == self {
			identity = firstDisk
		}
	}
	return first, identity
}

func randomIdentity() string {
	var bytes [8]byte
	// crypto/rand documents that Read never returns an error.
	_, _ = rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}

// wire creates the servers on a node, in the order of their dependencies.
func wire(node *agent.Agent, replica, plans *registerserver.Replica, table *workerserver.Table, checker *configcheck.Checker) *Controller {
	c := &Controller{Node: node, Register: replica, peers: newPeers()}
	replica.HandleConfiguration()
	// A controller that has not recovered the workers from a majority does not join the acceptor set
	// yet: it would count towards a quorum for changes of workers that it does not know.
	c.sets = registerserver.NewSetMaintainer(replica, func() bool { return !table.Recovering() })
	c.broadcast = broadcastserver.New(node, table)
	c.configs = configserver.New(replica, c.sets, c.broadcast)
	c.workers = workerserver.New(table, replica, c.contact(), c.broadcast)
	c.assignments = assignmentserver.New(plans, c.contact(), table)
	c.operator = operatorapi.New(replica, c.sets, c.configs, checker)
	process.Handle(node.Runtime, messages.KindDirectoryPull, c.handleDirectoryPull)
	process.Handle(node.Runtime, messages.KindControllerHeartbeat, c.handleHeartbeat)
	process.Handle(node.Runtime, messages.KindZoneTraffic, c.handleZoneTraffic)
	node.OnReportResponse(c.completeReportResponse)
	node.Report(messages.QueryLeadership, c.reportRegister)
	node.Report("workers", c.reportWorkers)
	c.server, c.clients = inbound.NewServer(c.handler()), inbound.LimitsOf(node.Settings.Limits)
	// The writer of the workers file starts here, since calls may arrive before Run.
	go c.workers.Run(node.Stop, node.Log)
	return c
}

// contact returns the contact lease of this process.
func (c *Controller) contact() *contactserver.Server { return c.configs.Contact() }

// handler returns the HTTP routes for workers and the operator.
func (c *Controller) handler() http.Handler {
	router := chi.NewRouter()
	router.Post("/-/Workers.Heartbeat/{id}", c.workers.HandleHeartbeat)
	router.Post("/-/Workers.Depart/{id}", c.workers.HandleDepart)
	c.operator.Register(router)
	return router
}

// Run serves until Shutdown.
func (c *Controller) Run() error {
	node := c.Node
	if err := node.Start(); err != nil {
		return err
	}
	go c.catchUp()
	go clock.Every(constants.ContactPeriod, node.Stop, c.contact().Round)
	go clock.Every(constants.BacklogPeriod, node.Stop, c.broadcast.RetryBacklog)
	go clock.Every(constants.ControllerHeartbeatPeriod, node.Stop, c.heartbeatPeers)
	go clock.Every(constants.ReconcilePeriod, node.Stop, c.sets.Reconcile)
	go clock.Every(constants.ReconcilePeriod, node.Stop, c.assignments.ReconcileSet)
	go clock.Every(constants.PlanPeriod, node.Stop, c.assignments.Reconcile)
	listener, err := inbound.Listen(node.Settings.Bind.Control, c.clients.Connections, inbound.NewMemory(c.clients.Memory))
	if err != nil {
		return process.ErrUnavailable.Wrap(err, "control")
	}
	c.listener.Store(listener)
	go listener.LogPressure(node.Log, "control", node.Stop)
	node.Log.Info("serving", "control", node.Settings.Bind.Control, "disk", node.Self.Disk, "connections", c.clients.Connections)
	err = c.server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return process.ErrUnavailable.Wrap(err, "control")
}

// catchUp requests from peers the state that this process lacks after a start: the other controllers'
// tables, the workers, the acceptor sets, the configuration and the assignments.
func (c *Controller) catchUp() {
	c.heartbeatPeers()
	go c.workers.Recover()
	for {
		select {
		case <-c.Node.Stop:
			return
		default:
		}
		c.Register.SyncSets()
		if len(c.Register.Known().Acceptors) > 0 && c.configs.Load() == nil {
			if _, err := c.assignments.Read(); err != nil {
				c.Node.Log.Debug("failed to read assignments", "err", err.Error())
			}
			return
		}
		clock.Sleep(constants.StartBackoff)
	}
}

// Shutdown drains the node, begins no more HTTP requests, waits for those in flight for at most
// constants.BulkCallTimeout, and then stops the node.
func (c *Controller) Shutdown() {
	c.Node.Drain()
	if listener := c.listener.Load(); listener != nil {
		if open := listener.DrainWithin(constants.BulkCallTimeout); open > 0 {
			c.Node.Log.Warn("HTTP requests aborted at shutdown", "connections", open)
		}
	}
	c.server.Close()
	c.Node.Shutdown()
}
