package lab

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// rejectedError is the rejection of a request that would be rejected on a retry, too.
type rejectedError string

// Error returns the reason.
func (r rejectedError) Error() string { return string(r) }

// operator sends configurations to the controllers, each based on the previous one.
type operator struct {
	controls []string
	// lock guards config, which is the last configuration accepted; nil if there is none.
	lock   sync.Mutex
	config *routeconfig.Config
	// acknowledged lists the generations that a controller accepted; the lock guards it too.
	acknowledged []AcknowledgedGeneration
	// added counts the routes sent; the lock guards it too.
	added int
}

// AcknowledgedGeneration is a generation of the configuration that a controller accepted.
type AcknowledgedGeneration struct {
	Generation int64 `json:"generation"`
	// AtNanos is when the operator got the response, as a Unix time in ns.
	AtNanos int64 `json:"at-ns"`
}

type httpResponse struct {
	status int
	body   []byte
}

var operatorClient = http.Client{Timeout: constants.LabGrace}

func (o *operator) call(method, url string, body []byte, base int64) (httpResponse, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return httpResponse{}, ErrInvalidLab.Wrap(err, "create operator request")
	}
	if body != nil {
		request.Header.Set("Lemonarch-Base-Revision", strconv.FormatInt(base, 10))
		request.Header.Set("Content-Type", "application/json")
	}
	resp, err := operatorClient.Do(request)
	if err != nil {
		return httpResponse{}, ErrInvalidLab.New(rootCause(err))
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	return httpResponse{resp.StatusCode, text}, ErrInvalidLab.Wrap(err, "read operator response")
}

// sendFirst sends the first configuration.
func (o *operator) sendFirst(body []byte) error { return o.send(body, 0) }

// addRoute sends the next generation: the current configuration with one more route, which no other call
// sends. Of two calls at a time on the same base one is rejected. Fields that this program does not know
// are left unchanged.
func (o *operator) addRoute() (generation int64, err error) {
	o.lock.Lock()
	current := o.config
	o.added++
	number := o.added
	o.lock.Unlock()
	if current == nil {
		return 0, ErrInvalidLab.New("there is no configuration yet")
	}
	generation = current.Generation + 1
	body, err := withRoute(current.Body, generation, addedRoute(number))
	if err != nil {
		return 0, ErrInvalidLab.Wrap(err, "configuration")
	}
	return generation, o.send(body, current.Generation)
}

// withRoute returns a copy of a configuration with a new generation and one more route.
func withRoute(body []byte, generation int64, route routeconfig.Route) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	var routes []json.RawMessage
	if err := json.Unmarshal(fields["channels"], &routes); err != nil {
		return nil, err
	}
	added, err := json.Marshal(route)
	if err != nil {
		return nil, err
	}
	if fields["channels"], err = json.Marshal(append(routes, added)); err != nil {
		return nil, err
	}
	fields["generation"] = json.RawMessage(strconv.FormatInt(generation, 10))
	return json.Marshal(fields)
}

// send sends a whole configuration to one controller after the other until one accepts or rejects it.
func (o *operator) send(body []byte, base int64) error {
	var err error
	for _, address := range o.controls {
		var resp httpResponse
		resp, err = o.call(http.MethodPost, "http://"+address+"/-/Configuration.Replace", body, base)
		switch {
		case err != nil:
		case resp.status == http.StatusOK:
			config, parseErr := routeconfig.Parse(body)
			if parseErr != nil {
				return parseErr
			}
			o.lock.Lock()
			if o.config == nil || o.config.Generation < config.Generation {
				o.config = config
			}
			o.acknowledged = append(o.acknowledged, AcknowledgedGeneration{config.Generation, clock.WallNanos()})
			o.lock.Unlock()
			return nil
		case resp.status >= 400 && resp.status < 500 && resp.status != http.StatusTooManyRequests && resp.status != http.StatusRequestTimeout:
			return rejectedError("configuration rejected with status " + strconv.Itoa(resp.status) + ": " + strings.TrimSpace(string(resp.body)))
		default:
			err = ErrInvalidLab.New(address + " responded with status " + strconv.Itoa(resp.status))
		}
	}
	return err
}

// generations returns the generations that were acknowledged so far.
func (o *operator) generations() []AcknowledgedGeneration {
	o.lock.Lock()
	defer o.lock.Unlock()
	return append([]AcknowledgedGeneration(nil), o.acknowledged...)
}

func (o *operator) routes() []routeconfig.Route {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.config == nil {
		return nil
	}
	return o.config.Routes
}
