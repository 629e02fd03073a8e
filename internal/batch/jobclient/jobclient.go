// Package jobclient is a client for batch jobs. It submits, reads, follows and ends jobs through
// HTTP calls that any gateway accepts.
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

// Errors returned by Client.
var (
	// ErrOutcomeUnknown reports that there was no conclusive response. The call may be retried at any gateway.
	ErrOutcomeUnknown = errs.Define("outcome unknown")
	// ErrRejected reports a rejection: the system guarantees that no item of the job runs.
	ErrRejected = errs.Define("lot refused")
	// ErrInvalidCall reports a call that would be rejected again if retried.
	ErrInvalidCall = errs.Define("invalid call")
	// ErrCorruptResponse reports a response that violates the protocol.
	ErrCorruptResponse = errs.Define("corrupt response")
)

// Item is one request in a job.
type Item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int64             `json:"tokens"`
}

// Job is a set of requests that are submitted together, at most 200 (constants.JobItemsMax).
type Job struct {
	Requests []Item `json:"requests"`
}

// Output is the result of one item.
type Output struct {
	ID    string `json:"id"`
	Phase string `json:"phase"`
	Text  string `json:"text"`
}

// The phases of an output. A settled item has its complete text; an abandoned one is not run any more.
const (
	PhaseSettled   = "settled"
	PhaseAbandoned = "abandoned"
)

// Page is the response to one read. Next is the next position to read, Total the number of items.
type Page struct {
	Total   int      `json:"sum"`
	Next    int      `json:"next-token"`
	Outputs []Output `json:"outputs"`
}

// Client calls the gateways of a fleet, each call on a new connection. It is not safe for concurrent use.
type Client struct {
	// Gateways contains gateway addresses, host:port. After a failure the next one is used.
	Gateways []string
	// Host is the host of the jobs' route.
	Host string
	// gatewayIndex, modulo the length of Gateways, selects the gateway of the next call.
	gatewayIndex int
	// Transport sends the requests. Tests may set it; nil means a new http.Transport per call.
	Transport http.RoundTripper
	// Backoff waits between two attempts. If nil, the client sleeps.
	Backoff func(clock.Duration)
}

func (c *Client) wait(backoff clock.Duration) {
	if c.Backoff != nil {
		c.Backoff(backoff)
		return
	}
	clock.Sleep(backoff)
}

// response is a response's status, its body, and the duration in its Retry-After header, or 0.
type response struct {
	status     int
	body       []byte
	retryAfter clock.Duration
}

func (c *Client) call(ctx contexts.Context, method, path string, header map[string]string, body []byte, timeout clock.Duration) (response, error) {
	callCtx, cancel := contexts.WithTimeout(ctx, timeout)
	defer cancel()
	gateway := c.Gateways[c.gatewayIndex%len(c.Gateways)]
	request, err := http.NewRequestWithContext(callCtx, method, "http://"+gateway+path, bytes.NewReader(body))
	if err != nil {
		return response{}, ErrInvalidCall.Wrap(err, path)
	}
	request.Host, request.Close = c.Host, true
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := c.Transport
	if transport == nil {
		transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	}
	resp, err := transport.RoundTrip(request)
	if err != nil {
		c.gatewayIndex++
		return response{}, ErrOutcomeUnknown.Wrap(err, gateway)
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, constants.JobResponseLimit))
	if err != nil {
		c.gatewayIndex++
		return response{}, ErrOutcomeUnknown.Wrap(err, gateway)
	}
	if resp.StatusCode >= 500 || resp.StatusCode == http.StatusTooManyRequests {
		c.gatewayIndex++
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return response{resp.StatusCode, content, clock.Milliseconds(max(seconds, 0) * 1000)}, nil
}

// Submit sends a job under its id until it is accepted, found invalid, or the context ends. A job that
// may have been accepted is sent again unchanged; the system accepts it only once.
func (c *Client) Submit(ctx contexts.Context, id, path string, job Job) (attempts int, err error) {
	if len(job.Requests) == 0 || len(job.Requests) > constants.JobItemsMax {
		return 0, ErrInvalidCall.New("a job must have 1 to " + strconv.Itoa(constants.JobItemsMax) + " items")
	}
	body, err := json.Marshal(job)
	if err != nil {
		return 0, ErrInvalidCall.Wrap(err, "encode job")
	}
	maybeAccepted := false
	for {
		attempts++
		resp, err := c.call(ctx, http.MethodPost, path, map[string]string{"Lemonarch-Attempt-Id": id, "Content-Type": "application/json"}, body, constants.JobCallTimeout)
		backoff := max(resp.retryAfter, constants.LabRetry)
		switch {
		case err != nil:
			maybeAccepted = true
		case resp.status == http.StatusAccepted:
			return attempts, nil
		case resp.status == http.StatusTooManyRequests || resp.status == http.StatusServiceUnavailable:
			err = ErrRejected.New(strconv.Itoa(resp.status))
		case resp.status >= 400 && resp.status < 500:
			return attempts, ErrInvalidCall.New(strconv.Itoa(resp.status) + " " + string(resp.body))
		default:
			maybeAccepted = true
			err = ErrOutcomeUnknown.New(strconv.Itoa(resp.status))
		}
		if ctx.Err() == nil {
			c.wait(backoff)
		}
		if ctx.Err() != nil {
			if maybeAccepted {
				// After one inconclusive attempt the job must not be reported as rejected.
				return attempts, ErrOutcomeUnknown.New("the job may have been accepted; last attempt: " + err.Error())
			}
			return attempts, err
		}
	}
}

// Read returns the page of outputs that starts at the position cursor. If there is none yet, the
// system waits up to wait for an output before it responds.
func (c *Client) Read(ctx contexts.Context, id string, cursor int, wait clock.Duration) (*Page, error) {
	header := map[string]string{}
	if wait > 0 {
		header["Lemonarch-Hold-Ms"] = strconv.FormatInt(wait.Milliseconds(), 10)
	}
	resp, err := c.call(ctx, http.MethodGet, "/-/lots/"+url.PathEscape(id)+"?page-cursor="+strconv.Itoa(cursor), header, nil, wait+constants.JobReadSlack)
	if err != nil {
		return nil, err
	}
	if err = c.checkStatus(resp, id); err != nil {
		return nil, err
	}
	page := &Page{}
	if err = json.Unmarshal(resp.body, page); err != nil {
		return nil, ErrCorruptResponse.Wrap(err, "decode page of job "+id)
	}
	if page.Next != cursor+len(page.Outputs) || page.Next > page.Total {
		return nil, ErrCorruptResponse.New("page of job " + id + " has a next-token that does not match its outputs and sum")
	}
	return page, nil
}

// End ends a job. The call may be repeated.
func (c *Client) End(ctx contexts.Context, id string) error {
	resp, err := c.call(ctx, http.MethodDelete, "/-/lots/"+url.PathEscape(id), nil, nil, constants.JobCallTimeout)
	if err != nil {
		return err
	}
	return c.checkStatus(resp, id)
}

// Body returns the request body of an item as submitted, whether or not the item is listed yet.
func (c *Client) Body(ctx contexts.Context, id, item string) ([]byte, error) {
	resp, err := c.call(ctx, http.MethodGet, "/-/items/"+url.PathEscape(id)+"?id="+url.QueryEscape(item), nil, nil, constants.JobCallTimeout)
	if err != nil {
		return nil, err
	}
	return resp.body, c.checkStatus(resp, id)
}

// checkStatus returns nil for a response with status 200, and otherwise the error for its status.
func (c *Client) checkStatus(resp response, id string) error {
	switch {
	case resp.status == http.StatusOK:
		return nil
	case resp.status >= 500 || resp.status == http.StatusTooManyRequests || resp.status == http.StatusRequestTimeout:
		return ErrOutcomeUnknown.New(strconv.Itoa(resp.status))
	case resp.status == http.StatusNotFound:
		return ErrInvalidCall.New("no job " + id + " (404)")
	}
	return ErrInvalidCall.New(strconv.Itoa(resp.status) + " " + string(resp.body))
}

// IsRetryable reports whether a call that failed with err may be retried.
func IsRetryable(err error) bool { return errs.Is(err, ErrOutcomeUnknown) }

// Follow reads a job to its end, beginning at a position, and calls handle with each page. It repeats a
// read whose outcome is unknown until the context ends.
func (c *Client) Follow(ctx contexts.Context, id string, from int, handle func(page *Page) error) error {
	for cursor := from; ; {
		page, err := c.Read(ctx, id, cursor, time.Second)
		if err != nil {
			if !IsRetryable(err) || ctx.Err() != nil {
				return err
			}
			c.wait(constants.LoadPollBackoff)
			continue
		}
		if err = handle(page); err != nil {
			return err
		}
		if cursor = page.Next; cursor >= page.Total {
			return nil
		}
		if ctx.Err() != nil {
			return ErrOutcomeUnknown.Wrap(ctx.Err(), "job "+id+" is not finished")
		}
	}
}
