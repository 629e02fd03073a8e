package loadgen

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/tooling/lab"
)

// configRead is one read of the configuration that was answered with 200.
type configRead struct {
	node       string
	generation int64
	// sentNanos is when the read was sent, as a Unix time in ns.
	sentNanos int64
	// malformed is set if the body could not be decoded.
	malformed bool
}

// readConfigurations reads the configuration from one controller again and again until the load ends, on a
// connection that it keeps for as long as the controller lets it.
func (r *run) readConfigurations(ctx contexts.Context, started clock.Instant, node string) {
	client := newSessionClient()
	defer client.CloseIdleConnections()
	for end := started.Add(r.options.For); ctx.Err() == nil && clock.Now() < end; r.pause(constants.LabRetry) {
		read, err := readConfiguration(ctx, client, node)
		r.lock.Lock()
		if err != nil {
			r.failedReads++
		} else if read != nil {
			r.configReads = append(r.configReads, *read)
		}
		r.lock.Unlock()
	}
}

// readConfiguration sends one read. It returns nil if the response is not 200: a controller that is not
// sure responds 503.
func readConfiguration(ctx contexts.Context, client http.RoundTripper, node string) (*configRead, error) {
	callCtx, cancel := contexts.WithTimeout(ctx, constants.JobCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(callCtx, http.MethodGet, "http://"+node+"/-/Configuration.Read", nil)
	if err != nil {
		return nil, ErrInvalidLoad.Wrap(err, "create request")
	}
	read := &configRead{node: node, sentNanos: clock.WallNanos()}
	resp, err := client.RoundTrip(request)
	if err != nil {
		return nil, ErrInvalidLoad.Wrap(err, "read configuration")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, ErrInvalidLoad.Wrap(err, "read configuration")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, nil
	}
	var config struct {
		Generation int64 `json:"generation"`
	}
	read.malformed = json.Unmarshal(body, &config) != nil
	read.generation = config.Generation
	return read, nil
}

// checkConfigReads finds the reads that were sent ConfigConverge after an acknowledgement and returned an
// older generation, those whose body is no configuration, and generations that two operators were told are
// theirs.
func checkConfigReads(reads []configRead, acknowledged []lab.AcknowledgedGeneration) []Finding {
	var findings []Finding
	count := map[int64]int{}
	for _, ack := range acknowledged {
		if count[ack.Generation]++; count[ack.Generation] == 2 {
			findings = append(findings, Finding{"CONFIG", "", fmt.Sprintf("two configurations were acknowledged as generation %d", ack.Generation)})
		}
	}
	for _, read := range reads {
		if read.malformed {
			findings = append(findings, Finding{"CONFIG", read.node, "returned a configuration that can't be decoded"})
			continue
		}
		newest := int64(0)
		for _, ack := range acknowledged {
			if read.sentNanos-ack.AtNanos >= constants.ConfigConverge.Nanoseconds() {
				newest = max(newest, ack.Generation)
			}
		}
		if read.generation < newest {
			findings = append(findings, Finding{"CONFIG", read.node, fmt.Sprintf("returned generation %d though %d had been acknowledged %s before", read.generation, newest, constants.ConfigConverge)})
		}
	}
	return findings
}
