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

// fixedElection is an election that the process has won until its term is closed.
type fixedElection struct {
	*leadership.Campaign
	self string
	term *leader.Term
}

func (e *fixedElection) HoldsLease() bool { return true }

func (e *fixedElection) Current() leadership.Term {
	if e.term == nil || e.term.Closed() {
		return nil
	}
	return e.term
}

func (e *fixedElection) LeaderAddress() string {
	if e.Current() == nil {
		return ""
	}
	return e.self
}

func (e *fixedElection) LeaderEpoch() uint64 {
	if e.Current() == nil {
		return 0
	}
	return e.term.Epoch()
}

// soleLeader starts a store process on a fake disk that is the only member of the store set and
// leads in epoch 1.
func soleLeader(t *testing.T, disk *simulation.Disk) *Server {
	t.Helper()
	replica, err := replicalog.Open(disk, "disk")
	if err != nil {
		t.Fatal(err)
	}
	nodeSettings := &settings.Settings{NodeName: "m", Address: "10.0.0.1", InternalPorts: []int{1, 9}, HeartbeatMs: 1200}
	node := agent.New(nodeSettings, "store", 2, replica.Disk(), hclog.NewNullLogger())
	node.Transport = transport.NewMemoryNetwork().Transport("m")
	server := newServer(node, replica)
	node.ApplyConfig([]byte(quotaConfig))
	server.election = &fixedElection{Campaign: leadership.New(node, nil), self: node.Self.Address}
	startTerm(t, server, 1)
	return server
}

// startTerm starts a term of the sole store and waits until it serves.
func startTerm(t *testing.T, server *Server, epoch uint64) {
	t.Helper()
	elected := messages.Leadership{Holder: "m", Incarnation: server.Node.Self.Incarnation, Epoch: epoch}
	term := server.newTerm(elected, []messages.Member{server.election.Member()})
	server.election.(*fixedElection).term = term
	term.TakeOver()
	for end := clock.Now().Add(clock.Milliseconds(5000)); !term.Serving(); {
		if clock.Now() > end {
			t.Fatal("the term did not serve within 5 s")
		}
		<-clock.After(clock.Milliseconds(5))
	}
	t.Cleanup(func() { term.Close("test is over") })
}

// jobKnown reports whether the leader knows a job.
func jobKnown(t *testing.T, server *Server, jobID string) bool {
	t.Helper()
	return server.currentTerm().Serve(&messages.JobCallRequest{Method: http.MethodGet, Job: jobID}).Status != http.StatusNotFound
}

// jobCount returns the number of jobs that the leader knows.
func jobCount(server *Server) int { return len(server.currentTerm().ReportJobs().Rows) }

// submitCall returns the submission of a job with a number of items of 15 tokens each.
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
