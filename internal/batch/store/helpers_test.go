package store

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/batch/leader"
	"lemonarch/internal/batch/leadership"
	"lemonarch/internal/batch/replicalog"
	"lemonarch/internal/control/agent"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/settings"
	"lemonarch/internal/platform/transport"
	"lemonarch/internal/tooling/simulation"
)

const quotaConfig = `{"generation":1,"channels":[{"name":"b","host":"h","path-prefix":"/b/","route-kind":"bulk","backend":"s","tries":2,"retain-s":60,"result-setpoint-ms":9000,"backlog-cap":100}],"backends":[{"name":"s"}],"limits":{}}`

// appointed is an election that a process has won for as long as its term is not closed.
type fixedElection struct {
	*leadership.Campaign
	self string
	term *leader.Term
}

func (a *fixedElection) HoldsLease() bool { return true }

func (a *fixedElection) Current() leadership.Term {
	if a.term == nil || a.term.Closed() {
		return nil
	}
	return a.term
}

func (a *fixedElection) LeaderAddress() string {
	if a.Current() == nil {
		return ""
	}
	return a.self
}

func (a *fixedElection) LeaderEpoch() uint64 {
	if a.Current() == nil {
		return 0
	}
	return a.term.Epoch()
}

// soleLeader is a store process that is the whole store set and leads it in epoch 1, on a
// fake disk.
func soleLeader(t *testing.T, disk *simulation.Disk) *Server {
	t.Helper()
	log, err := replicalog.Open(disk, "disk")
	if err != nil {
		t.Fatal(err)
	}
	nodeSettings := &settings.Settings{NodeName: "m", Address: "10.0.0.1", InternalPorts: []int{1, 9}, HeartbeatMs: 1200}
	node := agent.New(nodeSettings, "store", 2, log.Disk(), hclog.NewNullLogger())
	node.Transport = transport.NewMemoryNetwork().Transport("m")
	server := newServer(node, log)
	node.ApplyConfig([]byte(quotaConfig))
	server.election = &fixedElection{Campaign: leadership.New(node, nil), self: node.Self.Address}
	startTerm(t, server, 1)
	return server
}

// appoint begins a term of the sole store and waits until it serves.
func startTerm(t *testing.T, server *Server, epoch uint64) {
	t.Helper()
	elected := messages.Leadership{Holder: "m", Incarnation: server.Node.Self.Incarnation, Epoch: epoch}
	term := server.newTerm(elected, []messages.Member{server.election.Member()})
	server.election.(*fixedElection).term = term
	term.TakeOver()
	for end := clock.Now().Add(clock.Milliseconds(5000)); !term.Serving(); {
		if clock.Now() > end {
			t.Fatal("does not serve")
		}
		<-clock.After(clock.Milliseconds(5))
	}
	t.Cleanup(func() { term.Close("test is over") })
}

// known tells whether the leader knows a job.
func jobKnown(t *testing.T, server *Server, jobID string) bool {
	t.Helper()
	return server.currentTerm().Serve(&messages.JobCallRequest{Method: http.MethodGet, Job: jobID}).Status != http.StatusNotFound
}

// jobCount is how many jobs the leader knows.
func jobCount(server *Server) int { return len(server.currentTerm().ReportJobs().Rows) }

func submitCall(id string, items int) *messages.JobCallRequest {
	body := `{"requests":[`
	for i := 0; i < items; i++ {
		if i > 0 {
			body += ","
		}
		body += fmt.Sprintf(`{"id":"%s-%d","path":"/b/x","headers":{},"body":"aGk=","tokens":15}`, id, i)
	}
	return &messages.JobCallRequest{Method: "POST", Host: "h", Path: "/b/", Job: id, Body: []byte(body + "]}")}
}
