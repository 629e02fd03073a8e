package loadgen

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/tooling/lab"
)

// Endpoint is a client of the control endpoint of a lab fleet.
type Endpoint struct{ address string }

// checkLoopback returns an error unless the address is on this machine: load may only be sent to
// a lab.
func checkLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ErrInvalidLoad.New(strconv.Quote(address) + " is not an address of the form host:port")
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return ErrInvalidLoad.New(address + " is not on loopback; load is only sent to a lab on this machine")
	}
	return nil
}

// OpenEndpoint returns a client of the endpoint at an address, and an error if the address is not
// on this machine. It does not connect.
func OpenEndpoint(address string) (*Endpoint, error) {
	address = strings.TrimSuffix(strings.TrimPrefix(address, "http://"), "/")
	return &Endpoint{address}, checkLoopback(address)
}

var endpointClient = http.Client{Timeout: constants.LabStartLimit}

// call sends a request to the endpoint and decodes the JSON response.
func (e *Endpoint) call(method, path string, body []byte, into any) error {
	request, err := http.NewRequest(method, "http://"+e.address+path, bytes.NewReader(body))
	if err != nil {
		return ErrInvalidLoad.Wrap(err, "create endpoint request")
	}
	resp, err := endpointClient.Do(request)
	if err != nil {
		return ErrInvalidLoad.New("no fleet responds at " + e.address + "; start a fleet with: lemonarch lab up")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return ErrInvalidLoad.Wrap(err, "read endpoint response")
	}
	if resp.StatusCode != http.StatusOK {
		return ErrInvalidLoad.New("the fleet at " + e.address + " responded with status " + strconv.Itoa(resp.StatusCode) + ": " + strings.TrimSpace(string(text)))
	}
	return ErrInvalidLoad.Wrap(json.Unmarshal(text, into), "the fleet at "+e.address+" sent a response that can't be decoded")
}

// Info fetches the description of the fleet. It returns an error unless all ingress addresses are on
// this machine.
func (e *Endpoint) Info() (*lab.FleetInfo, error) {
	info := &lab.FleetInfo{}
	if err := e.call(http.MethodGet, "/fleet", nil, info); err != nil {
		return nil, err
	}
	if len(info.Ingress) == 0 || info.Stride < 1 {
		return nil, ErrInvalidLoad.New("the fleet at " + e.address + " sent a description without an ingress or stride")
	}
	for _, address := range info.Ingress {
		if err := checkLoopback(address); err != nil {
			return nil, err
		}
	}
	return info, nil
}

// Runs fetches the workers' runs of the attempts whose ids begin with the prefix.
func (e *Endpoint) Runs(prefix string) (*lab.Runs, error) {
	runs := &lab.Runs{}
	return runs, e.call(http.MethodGet, "/runs?prefix="+url.QueryEscape(prefix), nil, runs)
}

// StartTrouble requests the start of a trouble from the fleet.
func (e *Endpoint) StartTrouble(trouble lab.Trouble) error {
	body, err := json.Marshal(trouble)
	if err != nil {
		return ErrInvalidLoad.Wrap(err, "encode trouble")
	}
	return e.call(http.MethodPost, "/trouble", body, &struct{}{})
}
