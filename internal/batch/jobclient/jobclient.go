// Package jobclient is a client for jobs: it submits them, reads and follows them, and
// ends them, by the calls that any edge node takes.
package jobclient

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/contexts"
	"lemonarch/internal/platform/errs"
)

// The errors of calls on jobs.
var (
	// ErrOutcomeUnknown: nothing clear came back; the call may be made again, elsewhere.
	ErrOutcomeUnknown = errs.Define("no clear answer")
	// ErrRejected: it is promised that nothing of the job runs.
	ErrRejected = errs.Define("lot refused")
	// ErrInvalidCall: the call will not be taken the next time either.
	ErrInvalidCall = errs.Define("call not taken")
	// ErrCorruptResponse: the answer is not what the protocol says.
	ErrCorruptResponse = errs.Define("answer spoilt")
)

// Item is one request of a job.
type Item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int64             `json:"tokens"`
}

// Job is many requests that are submitted at once; at most 200.
type Job struct {
	Requests []Item `json:"requests"`
}

// Output is the result of one item.
type Output struct {
	ID    string `json:"id"`
	Phase string `json:"phase"`
	Text  string `json:"text"`
}

// Settled and Abandoned are the phases of an output.
const (
	PhaseSettled   = "settled"
	PhaseAbandoned = "abandoned"
)

// Page is what one read gives.
type Page struct {
	Sum     int      `json:"sum"`
	Next    int      `json:"next-token"`
	Outputs []Output `json:"outputs"`
}

// Client calls the edge nodes of a fleet, each call on a new connection.
type Client struct {
	// Edges are addresses, host:port; the next is taken after a failure.
	Edges []string
	// Host is that of the jobs' route.
	Host string
	turn int
	// Transport may be replaced in tests.
	Transport http.RoundTripper
	// Backoff waits between two tries; nil is a real wait.
	Backoff func(clock.Duration)
}

func (c *Client) pause(timeout clock.Duration) {
	if c.Backoff != nil {
		c.Backoff(timeout)
		return
	}
	clock.Sleep(timeout)
}

type answer struct {
	status int
	body   []byte
	after  clock.Duration
}

func (c *Client) call(until contexts.Context, method, path string, header map[string]string, body []byte, limit clock.Duration) (answer, error) {
	limited, release := contexts.WithTimeout(until, limit)
	defer release()
	edge := c.Edges[c.turn%len(c.Edges)]
	request, err := http.NewRequestWithContext(limited, method, "http://"+edge+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, ErrInvalidCall.Wrap(err, path)
	}
	request.Host, request.Close = c.Host, true
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := c.Transport
	if transport == nil {
		transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	}
	got, err := transport.RoundTrip(request)
	if err != nil {
		c.turn++
		return answer{}, ErrOutcomeUnknown.Wrap(err, edge)
	}
	defer got.Body.Close()
	output, err := io.ReadAll(io.LimitReader(got.Body, constants.JobResponseLimit))
	if err != nil {
		c.turn++
		return answer{}, ErrOutcomeUnknown.Wrap(err, edge)
	}
	if got.StatusCode >= 500 || got.StatusCode == http.StatusTooManyRequests {
		c.turn++
	}
	seconds, _ := strconv.ParseFloat(got.Header.Get("Retry-After"), 64)
	return answer{got.StatusCode, output, clock.Milliseconds(max(seconds, 0) * 1000)}, nil
}

// Submit sends a job under its id until it is taken or the context ends. What may
// have been taken is sent again unchanged: the system takes it once.
func (c *Client) Submit(until contexts.Context, id, path string, job Job) (attempts int, err error) {
	if len(job.Requests) == 0 || len(job.Requests) > constants.JobItemsMax {
		return 0, ErrInvalidCall.New("a lot holds 1 to " + strconv.Itoa(constants.JobItemsMax) + " items")
	}
	body, err := json.Marshal(job)
	if err != nil {
		return 0, ErrInvalidCall.Wrap(err, "lot")
	}
	maybe := false
	for {
		attempts++
		got, err := c.call(until, http.MethodPost, path, map[string]string{"Lemonarch-Attempt-Id": id, "Content-Type": "application/json"}, body, constants.JobCallTimeout)
		backoff := max(got.after, constants.LabRetry)
		switch {
		case err != nil:
			maybe = true
		case got.status == http.StatusAccepted:
			return attempts, nil
		case got.status == http.StatusTooManyRequests || got.status == http.StatusServiceUnavailable:
			err = ErrRejected.New(strconv.Itoa(got.status))
		case got.status >= 400 && got.status < 500:
			return attempts, ErrInvalidCall.New(strconv.Itoa(got.status) + " " + string(got.body))
		default:
			maybe = true
			err = ErrOutcomeUnknown.New(strconv.Itoa(got.status))
		}
		if until.Err() == nil {
			c.pause(backoff)
		}
		if until.Err() != nil {
			if maybe {
				// One unclear answer is enough: nothing may be said of the job.
				return attempts, ErrOutcomeUnknown.New("the lot may have been taken; the last try: " + err.Error())
			}
			return attempts, err
		}
	}
}

// Read gives one page from a position on; hold lets the system wait for an output.
func (c *Client) Read(until contexts.Context, id string, cursor int, wait clock.Duration) (*Page, error) {
	header := map[string]string{}
	if wait > 0 {
		header["Lemonarch-Hold-Ms"] = strconv.FormatInt(wait.Milliseconds(), 10)
	}
	got, err := c.call(until, http.MethodGet, "/-/lots/"+url.PathEscape(id)+"?page-cursor="+strconv.Itoa(cursor), header, nil, wait+constants.JobReadSlack)
	if err != nil {
		return nil, err
	}
	if err = c.clear(got, id); err != nil {
		return nil, err
	}
	page := &Page{}
	if err = json.Unmarshal(got.body, page); err != nil {
		return nil, ErrCorruptResponse.Wrap(err, "page of lot "+id)
	}
	if page.Next != cursor+len(page.Outputs) || page.Next > page.Sum {
		return nil, ErrCorruptResponse.New("page of lot " + id + " does not add up")
	}
	return page, nil
}

// End ends a job; calls may be repeated.
func (c *Client) End(until contexts.Context, id string) error {
	got, err := c.call(until, http.MethodDelete, "/-/lots/"+url.PathEscape(id), nil, nil, constants.JobCallTimeout)
	if err != nil {
		return err
	}
	return c.clear(got, id)
}

// Body gives the body of an item that is not listed yet.
func (c *Client) Body(until contexts.Context, id, item string) ([]byte, error) {
	got, err := c.call(until, http.MethodGet, "/-/items/"+url.PathEscape(id)+"?id="+url.QueryEscape(item), nil, nil, constants.JobCallTimeout)
	if err != nil {
		return nil, err
	}
	return got.body, c.clear(got, id)
}

func (c *Client) clear(got answer, id string) error {
	switch {
	case got.status == http.StatusOK:
		return nil
	case got.status >= 500 || got.status == http.StatusTooManyRequests || got.status == http.StatusRequestTimeout:
		return ErrOutcomeUnknown.New(strconv.Itoa(got.status))
	case got.status == http.StatusNotFound:
		return ErrInvalidCall.New("no lot " + id + " (404)")
	}
	return ErrInvalidCall.New(strconv.Itoa(got.status) + " " + string(got.body))
}

// Again tells whether a call may be made again.
func Again(err error) bool { return errs.Is(err, ErrOutcomeUnknown) }

// Follow reads a job to its end and hands each page on; from is the first position.
func (c *Client) Follow(until contexts.Context, id string, from int, each func(page *Page) error) error {
	for cursor := from; ; {
		page, err := c.Read(until, id, cursor, time.Second)
		if err != nil {
			if !Again(err) || until.Err() != nil {
				return err
			}
			c.pause(constants.LoadPollBackoff)
			continue
		}
		if err = each(page); err != nil {
			return err
		}
		if cursor = page.Next; cursor >= page.Sum {
			return nil
		}
		if until.Err() != nil {
			return ErrOutcomeUnknown.Wrap(until.Err(), "lot "+id+" is not finished")
		}
	}
}
