package treadle

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"lemonarch/internal/almanac"
	"lemonarch/internal/sawhorse"
)

// Desk is the desk of a fleet, as a load tool sees it.
type Desk struct{ address string }

// loopback allows addresses on this machine alone: load is for the lab.
func loopback(address string) error {
	host, _, failure := net.SplitHostPort(address)
	if failure != nil {
		return Unfit.New(strconv.Quote(address) + " is no host:port")
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return Unfit.New(address + " is not on loopback; load goes to a lab on this machine only")
	}
	return nil
}

// OpenDesk checks the address of a desk.
func OpenDesk(address string) (*Desk, error) {
	address = strings.TrimSuffix(strings.TrimPrefix(address, "http://"), "/")
	return &Desk{address}, loopback(address)
}

var deskClient = http.Client{Timeout: almanac.LabStartLimit}

func (desk *Desk) ask(method, path string, body []byte, into any) error {
	request, failure := http.NewRequest(method, "http://"+desk.address+path, bytes.NewReader(body))
	if failure != nil {
		return Unfit.Wrap(failure, "desk")
	}
	answer, failure := deskClient.Do(request)
	if failure != nil {
		return Unfit.New("no desk answers at " + desk.address + "; start a fleet with: lemonarch lab up")
	}
	defer answer.Body.Close()
	text, failure := io.ReadAll(answer.Body)
	if failure != nil {
		return Unfit.Wrap(failure, "desk")
	}
	if answer.StatusCode != http.StatusOK {
		return Unfit.New("the desk at " + desk.address + " answered " + strconv.Itoa(answer.StatusCode) + ": " + strings.TrimSpace(string(text)))
	}
	return Unfit.Wrap(json.Unmarshal(text, into), "the desk at "+desk.address+" can't be understood")
}

// Card asks for the card, and takes it only where everything is on loopback.
func (desk *Desk) Card() (*sawhorse.Card, error) {
	card := &sawhorse.Card{}
	if failure := desk.ask(http.MethodGet, "/fleet", nil, card); failure != nil {
		return nil, failure
	}
	if len(card.Ingress) == 0 || card.Stride < 1 {
		return nil, Unfit.New("the desk at " + desk.address + " names no fleet")
	}
	for _, address := range card.Ingress {
		if failure := loopback(address); failure != nil {
			return nil, failure
		}
	}
	return card, nil
}

// Runs asks what the workers ran of the attempts that begin with the prefix.
func (desk *Desk) Runs(prefix string) (*sawhorse.Runs, error) {
	runs := &sawhorse.Runs{}
	return runs, desk.ask(http.MethodGet, "/runs?prefix="+url.QueryEscape(prefix), nil, runs)
}

// Trouble has the fleet begin a trouble.
func (desk *Desk) Trouble(trouble sawhorse.Trouble) error {
	body, failure := json.Marshal(trouble)
	if failure != nil {
		return Unfit.Wrap(failure, "trouble")
	}
	return desk.ask(http.MethodPost, "/trouble", body, &struct{}{})
}
