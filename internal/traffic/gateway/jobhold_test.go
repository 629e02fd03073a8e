package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/settings"
)

// callBounds records how long calls on batch jobs may take.
type callBounds struct{ wait, timeout clock.Duration }

// Forward implements proxy.JobForwarder.
func (b *callBounds) Forward(call *messages.JobCallRequest, timeout clock.Duration) (*messages.JobCallResponse, bool) {
	b.wait, b.timeout = clock.Milliseconds(float64(call.WaitMs)), timeout
	return &messages.JobCallResponse{Status: http.StatusOK, Body: []byte("{}")}, false
}

// A call on a batch job that begins just before accepting ends must end before the gateway exits, however
// long its client allows a read to be held; otherwise the exit breaks it off without a response.
func TestJobCallsEndBeforeTheExit(t *testing.T) {
	for _, graceS := range []float64{8, 5, 1} {
		nodeSettings := &settings.Settings{NodeName: "g", Address: "10.0.0.1", Zone: "h", InternalPorts: []int{7000, 7010}}
		nodeSettings.Tolerances.GraceS = graceS
		gateway, bounds := New(nodeSettings, hclog.NewNullLogger()), &callBounds{}
		gateway.Proxy.Jobs = bounds
		config, err := routeconfig.Parse([]byte(drainConfig))
		if err != nil {
			t.Fatal(err)
		}
		gateway.Proxy.SetConfig(config)
		left := clock.Milliseconds(graceS*1000) - constants.ShutdownMargin - constants.DrainAcceptTime
		for method, path := range map[string]string{"GET": "/-/lots/x", "POST": "/jobs/x"} {
			request := httptest.NewRequest(method, "http://h"+path, strings.NewReader("{}"))
			request.RequestURI = path
			request.Header.Set("Lemonarch-Hold-Ms", "60000")
			request.Header.Set("Lemonarch-Attempt-Id", "x")
			gateway.Proxy.ServeHTTP(httptest.NewRecorder(), request)
			if limit := max(left, 2*constants.CallTimeout); bounds.timeout <= 0 || bounds.timeout > limit || bounds.wait > limit {
				t.Errorf("grace-s %v: %s %s may be held for %s and take %s, want %s at most", graceS, method, path, bounds.wait, bounds.timeout, limit)
			}
		}
	}
}
