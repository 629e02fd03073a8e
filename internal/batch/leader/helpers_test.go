package leader

import (
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"

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

// leaseHolder is an election whose lease never expires.
type leaseHolder struct{ *leadership.Campaign }

func (leaseHolder) HoldsLease() bool { return true }

// soleStore returns a store process on a simulated disk that is the only member of the store set.
func soleStore(t *testing.T, disk *simulation.Disk) *Process {
	t.Helper()
	log, err := replicalog.Open(disk, "disk")
	if err != nil {
		t.Fatal(err)
	}
	nodeSettings := &settings.Settings{NodeName: "m", Address: "10.0.0.1", InternalPorts: []int{1, 9}, HeartbeatMs: 1200}
	node := agent.New(nodeSettings, "store", 2, log.Disk(), hclog.NewNullLogger())
	node.Transport = transport.NewMemoryNetwork().Transport("m")
	node.ApplyConfig([]byte(quotaConfig))
	return &Process{Node: node, Log: log, Election: leaseHolder{leadership.New(node, nil)}, StopJob: func(string) {}}
}

// startServingTerm starts a term of the only store and waits until it serves.
func startServingTerm(t *testing.T, process *Process, epoch uint64) *Term {
	t.Helper()
	elected := messages.Leadership{Holder: "m", Incarnation: process.Node.Self.Incarnation, Epoch: epoch}
	term := NewTerm(process, elected, []messages.Member{process.Election.Member()})
	term.TakeOver()
	if !term.waitServing(clock.Milliseconds(5000)) {
		t.Fatal("term does not serve after the takeover")
	}
	t.Cleanup(func() { term.Close("test is over") })
	return term
}

// jobCallOf returns the submission of a job with a number of items of 15 tokens each.
func jobCallOf(id string, items int) *messages.JobCallRequest {
	body := `{"requests":[`
	for i := 0; i < items; i++ {
		if i > 0 {
			body += ","
		}
		body += fmt.Sprintf(`{"id":"%s-%d","path":"/b/x","headers":{},"body":"aGk=","tokens":15}`, id, i)
	}
	return &messages.JobCallRequest{Method: "POST", Host: "h", Path: "/b/", Job: id, Body: []byte(body + "]}")}
}
