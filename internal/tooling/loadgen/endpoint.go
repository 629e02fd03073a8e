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

// Endpoint is the control endpoint of a lab fleet, as a load tool sees it.
type Endpoint struct{ address string }

// loopback allows addresses on this machine alone: load is for the lab.
func checkLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ErrInvalidLoad.New(strconv.Quote(address) + " is no host:port")
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return ErrInvalidLoad.New(address + " is not on loopback; load goes to a lab on this machine only")
	}
	return nil
}

// OpenEndpoint checks the address of an endpoint.
func OpenEndpoint(address string) (*Endpoint, error) {
	address = strings.TrimSuffix(strings.TrimPrefix(address, "http://"), "/")
	return &Endpoint{address}, checkLoopback(address)
}

var endpointClient = http.Client{Timeout: constants.LabStartLimit}

func (e *Endpoint) call(method, path string, body []byte, into any) error {
	request, err := http.NewRequest(method, "http://"+e.address+path, bytes.NewReader(body))
	if err != nil {
		return ErrInvalidLoad.Wrap(err, "endpoint")
	}
	resp, err := endpointClient.Do(request)
	if err != nil {
		return ErrInvalidLoad.New("no fleet answers at " + e.address + "; start a fleet with: lemonarch lab up")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return ErrInvalidLoad.Wrap(err, "endpoint")
	}
	if resp.StatusCode != http.StatusOK {
		return ErrInvalidLoad.New("the fleet at " + e.address + " answered " + strconv.Itoa(resp.StatusCode) + ": " + strings.TrimSpace(string(text)))
	}
	return ErrInvalidLoad.Wrap(json.Unmarshal(text, into), "the fleet at "+e.address+" can't be understood")
}

// Card asks for the card, and takes it only where everything is on loopback.
func (e *Endpoint) Card() (*lab.Card, error) {
	card := &lab.Card{}
	if err := e.call(http.MethodGet, "/fleet", nil, card); err != nil {
		return nil, err
	}
	if len(card.Ingress) == 0 || card.Stride < 1 {
		return nil, ErrInvalidLoad.New("the fleet at " + e.address + " describes no fleet")
	}
	for _, address := range card.Ingress {
		if err := checkLoopback(address); err != nil {
			return nil, err
		}
	}
	return card, nil
}

// Runs asks what the workers ran of the attempts that begin with the prefix.
func (e *Endpoint) Runs(prefix string) (*lab.Runs, error) {
	runs := &lab.Runs{}
	return runs, e.call(http.MethodGet, "/runs?prefix="+url.QueryEscape(prefix), nil, runs)
}

// Trouble has the fleet begin a trouble.
func (e *Endpoint) StartTrouble(fault lab.Trouble) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return ErrInvalidLoad.Wrap(err, "trouble")
	}
	return e.call(http.MethodPost, "/trouble", body, &struct{}{})
}
