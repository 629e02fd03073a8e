// Package assignmentserver manages the assignments of adapters to nodes on one controller: the plan in
// force, an operator's changes, and a new plan when a node that the rules name becomes absent or
// comes back. The plan is stored in a register separate from that of the configuration. Both registers
// run on the controllers with the same protocol, but have separate ballots, acceptor sets and records on
// disk, so that a write to one never conflicts with a write to the other. The planner is package
// adapterplan.
package assignmentserver

import (
	"sync"

	"lemonarch/internal/configuration/adapterplan"
	"lemonarch/internal/control/agent"
	"lemonarch/internal/control/assignments"
	"lemonarch/internal/control/contactserver"
	"lemonarch/internal/control/register"
	"lemonarch/internal/control/registerserver"
	"lemonarch/internal/control/workerserver"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/process"
	"lemonarch/internal/platform/transport"
)

// RegisterName is the name of the register of assignments, in messages and on disk.
const RegisterName = "plans"

// Server manages the assignments on one controller.
type Server struct {
	node    *agent.Agent
	replica *registerserver.Replica
	sets    *registerserver.SetMaintainer
	contact *contactserver.Server
	workers *workerserver.Table

	// lock guards the fields below.
	lock  sync.Mutex
	table assignments.Table
	// pulling is set while a newer plan is being pulled from another controller.
	pulling bool
	// presence tracks which nodes of the plan are absent.
	presence adapterplan.Presence
	// changedAt is when the plan in force last changed.
	changedAt clock.Instant
}

// New creates the server on the register of assignments and registers the handlers for other processes'
// requests.
func New(replica *registerserver.Replica, contact *contactserver.Server, workers *workerserver.Table) *Server {
	s := &Server{node: replica.Node, replica: replica, sets: registerserver.NewSetMaintainer(replica, nil), contact: contact, workers: workers}
	registerserver.HandleNamed(s.node.Runtime, s.findRegister)
	process.Handle(s.node.Runtime, messages.KindPlanPull, s.handlePull)
	process.Handle(s.node.Runtime, messages.KindPlanApply, s.handleApply)
	s.node.Report("assignments", func() *messages.StatusResponse {
		plan := s.Plan()
		return assignments.Status(&plan, "", clock.DayMinute())
	})
	replica.OnAccepted = s.onAccepted
	return s
}

// findRegister returns the register with a name. RegisterName is the only one so far.
func (s *Server) findRegister(name string) (*registerserver.Replica, error) {
	if name != RegisterName {
		return nil, process.ErrUnavailable.New("no register is named " + name)
	}
	return s.replica, nil
}

// onAccepted reads the register a little later, in a goroutine that ends with the read: a value
// that this process's acceptor has just accepted may not be chosen yet.
func (s *Server) onAccepted(int64) {
	go func() {
		clock.Sleep(constants.PushTimeout)
		if _, err := s.Read(); err != nil {
			s.node.Log.Debug("failed to read assignments", "err", err.Error())
		}
	}()
}

// Replica returns this process's replica of the register of assignments.
func (s *Server) Replica() *registerserver.Replica { return s.replica }

// Plan returns the plan in force on this process.
func (s *Server) Plan() messages.PlanResponse {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.table.Plan()
}

// apply puts a chosen plan in force on this process.
func (s *Server) apply(plan *messages.PlanResponse) {
	s.lock.Lock()
	applied := s.table.Apply(*plan)
	if applied {
		s.changedAt = clock.Now()
	}
	s.lock.Unlock()
	if applied {
		s.node.Log.Info("assignments applied", "revision", plan.Revision, "generation", plan.Generation, "absent", len(plan.Absent), "collisions", len(plan.Collisions))
	}
}

// Read reads the register from a majority, and applies the plan in it.
func (s *Server) Read() (*messages.PlanResponse, error) {
	if len(s.replica.Known().Acceptors) == 0 {
		s.replica.SyncSets()
	}
	value, err := s.replica.Read()
	if err != nil {
		return nil, err
	}
	plan, err := adapterplan.DecodePlan(value.Current, value.Body)
	if err != nil {
		return nil, err
	}
	s.apply(plan)
	return plan, nil
}

// Observe pulls the plan of another controller if its revision is newer. No read from a majority is needed,
// since a controller follows only chosen plans.
func (s *Server) Observe(revision int64, address string) {
	s.lock.Lock()
	behind := revision > s.table.Revision() && !s.pulling
	s.pulling = s.pulling || behind
	s.lock.Unlock()
	if !behind {
		return
	}
	plan := &messages.PlanResponse{}
	if transport.Call(s.node.Transport, address, messages.KindPlanPull, &messages.PlanRequest{Complete: true}, plan, constants.CallTimeout) == nil {
		s.apply(plan)
	}
	s.lock.Lock()
	s.pulling = false
	s.lock.Unlock()
}

// handlePull responds with the complete plan or a node's part of it, after a read from a majority if the
// request is for a linearizable read.
func (s *Server) handlePull(req *messages.PlanRequest) (*messages.PlanResponse, error) {
	plan := s.Plan()
	if req.Linearizable {
		if !s.contact.Await() {
			return nil, contactserver.ErrNoContact.New("assignments")
		}
		chosen, err := s.Read()
		if err != nil {
			return nil, err
		}
		plan = *chosen
	}
	if req.Complete {
		return &plan, nil
	}
	return adapterplan.NodePlan(&plan, req.Node), nil
}

// handleApply puts an operator's rules in force, based on the revision for which they were
// planned.
func (s *Server) handleApply(req *messages.PlanApplyRequest) (*messages.PlanApplyResponse, error) {
	current, err := s.Read()
	if err != nil {
		return &messages.PlanApplyResponse{Reason: "no majority of the register answers: " + err.Error()}, nil
	}
	if len(req.Rules)+len(req.Solution) > constants.PlanBytesMax {
		return &messages.PlanApplyResponse{Reason: "rules and answer are too large for the register"}, nil
	}
	if string(current.Value.Rules) == string(req.Rules) {
		return &messages.PlanApplyResponse{Applied: true, Revision: current.Revision, Reason: "in force already"}, nil
	}
	if current.Revision != req.Base {
		return &messages.PlanApplyResponse{Revision: current.Revision, Reason: "another plan was put in force meanwhile"}, nil
	}
	value, err := adapterplan.NextValue(&current.Value, req.Rules, req.Solution)
	if err != nil {
		return &messages.PlanApplyResponse{Revision: current.Revision, Reason: err.Error()}, nil
	}
	plan, result, err := s.commit(value, req.Base)
	if err != nil {
		return &messages.PlanApplyResponse{Unclear: errs.Is(err, register.ErrOutcomeUnknown), Reason: err.Error()}, nil
	}
	if !result.InForce() {
		return &messages.PlanApplyResponse{Revision: plan.Revision, Reason: "another plan was put in force meanwhile"}, nil
	}
	s.node.Log.Info("assignments acknowledged", "revision", plan.Revision, "generation", plan.Generation)
	return &messages.PlanApplyResponse{Applied: true, Revision: plan.Revision}, nil
}
