// Package assignmentserver keeps the assignments of adapters to nodes at one controller: what
// is in force, an operator's change of it, and a new plan when a node of the rules goes or
// comes back. The value lives in a register of its own beside the configuration's: the same
// machines and the same two rounds, but ballots, sets and records on disk of their own, so
// that a write to one never meets a write to the other. The planner is package adapterplan.
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

// RegisterName is the name of the register of assignments, on the wire and on disk.
const RegisterName = "plans"

// Server keeps the assignments at one controller.
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
	pulling  bool
	presence adapterplan.Presence
	// changedAt is when the plan in force last changed.
	changedAt clock.Instant
}

// New makes the server on the register of assignments and registers the requests of other
// processes.
func New(replica *registerserver.Replica, contact *contactserver.Server, workers *workerserver.Table) *Server {
	s := &Server{node: replica.Node, replica: replica, sets: registerserver.NewSetMaintainer(replica, nil), contact: contact, workers: workers}
	registerserver.HandleNamed(s.node.Runtime, s.register)
	process.Handle(s.node.Runtime, messages.KindPlanPull, s.handlePull)
	process.Handle(s.node.Runtime, messages.KindPlanApply, s.handleApply)
	s.node.Report("assignments", func() *messages.StatusResponse {
		plan := s.Plan()
		return assignments.Status(&plan, "", clock.DayMinute())
	})
	replica.OnAccepted = s.onAccepted
	return s
}

// register gives the register of a name. There is one so far.
func (s *Server) register(name string) (*registerserver.Replica, error) {
	if name != RegisterName {
		return nil, process.ErrUnavailable.New("no register is named " + name)
	}
	return s.replica, nil
}

// onAccepted reads the register a little later, in a goroutine that ends with the read:
// what was accepted is not chosen yet.
func (s *Server) onAccepted(int64) {
	go func() {
		clock.Sleep(constants.PushTimeout)
		if _, err := s.Read(); err != nil {
			s.node.Log.Debug("assignments not read", "err", err.Error())
		}
	}()
}

// Replica is this process's part in the register of assignments.
func (s *Server) Replica() *registerserver.Replica { return s.replica }

// Plan gives what is in force here.
func (s *Server) Plan() messages.PlanResponse {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.table.Plan()
}

// apply puts a chosen value in force here.
func (s *Server) apply(plan *messages.PlanResponse) {
	s.lock.Lock()
	taken := s.table.Apply(*plan)
	if taken {
		s.changedAt = clock.Now()
	}
	s.lock.Unlock()
	if taken {
		s.node.Log.Info("assignments applied", "revision", plan.Revision, "generation", plan.Generation, "absent", len(plan.Absent), "collisions", len(plan.Collisions))
	}
}

// Read reads the register at a majority, and applies what it holds.
func (s *Server) Read() (*messages.PlanResponse, error) {
	if len(s.replica.Known().Acceptors) == 0 {
		s.replica.SyncSets()
	}
	value, err := s.replica.Read()
	if err != nil {
		return nil, err
	}
	plan, err := adapterplan.Told(value.Current, value.Body)
	if err != nil {
		return nil, err
	}
	s.apply(plan)
	return plan, nil
}

// Observe follows another controller that has a newer plan: what it tells is chosen.
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

func (s *Server) handlePull(req *messages.PlanRequest) (*messages.PlanResponse, error) {
	plan := s.Plan()
	if req.Linearizable {
		if !s.contact.Await() {
			return nil, contactserver.ErrNoContact.New("assignments")
		}
		decided, err := s.Read()
		if err != nil {
			return nil, err
		}
		plan = *decided
	}
	if req.Complete {
		return &plan, nil
	}
	return adapterplan.Part(&plan, req.Node), nil
}

// handleApply puts an operator's rules in force on top of the revision that they were
// planned on.
func (s *Server) handleApply(req *messages.PlanApplyRequest) (*messages.PlanApplyResponse, error) {
	now, err := s.Read()
	if err != nil {
		return &messages.PlanApplyResponse{Reason: "no majority of the register answers: " + err.Error()}, nil
	}
	if len(req.Rules)+len(req.Solution) > constants.PlanBody {
		return &messages.PlanApplyResponse{Reason: "rules and answer are too large for the register"}, nil
	}
	if string(now.Value.Rules) == string(req.Rules) {
		return &messages.PlanApplyResponse{Applied: true, Revision: now.Revision, Reason: "in force already"}, nil
	}
	if now.Revision != req.Base {
		return &messages.PlanApplyResponse{Revision: now.Revision, Reason: "another plan was put in force meanwhile"}, nil
	}
	value, err := adapterplan.Enact(&now.Value, req.Rules, req.Solution)
	if err != nil {
		return &messages.PlanApplyResponse{Revision: now.Revision, Reason: err.Error()}, nil
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
