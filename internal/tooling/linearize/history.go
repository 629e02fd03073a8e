// Package linearize records the calls of the clients of the control plane and of batch jobs with
// their responses, and checks them against a sequential model. A history is linearizable if there
// is one order of all calls that explains every response, where each call takes effect at one
// moment between its beginning and its end.
package linearize

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"lemonarch/internal/platform/errs"
)

// The errors returned by History.Check.
var (
	// ErrNotLinearizable means that no order of the calls explains the responses.
	ErrNotLinearizable = errs.Define("history not linearizable")
	// ErrUndecided means that the check did not finish within its time limit.
	ErrUndecided = errs.Define("history not decided")
)

// Reply is the response that a client received for an operation.
type Reply interface {
	// Unclear reports whether the outcome is unknown: the operation may have taken effect, may
	// still take effect, or may never do so.
	Unclear() bool
}

// History records the calls of all clients. An operation that a client sends again unchanged,
// because it has no clear response yet, counts as one operation.
type History struct {
	operations []porcupine.Operation
}

// Operation is one operation in a history.
type Operation struct {
	history *History
	index   int
}

// Begin records that a client begins an operation at a time. Until the operation ends, its
// outcome counts as unclear.
func (h *History) Begin(client int, input any, unclear Reply, now int64) *Operation {
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: input, Call: now, Output: unclear, Return: math.MaxInt64,
	})
	return &Operation{history: h, index: len(h.operations) - 1}
}

// End records the response if it is clear. An unclear one leaves the operation open for ever.
func (o *Operation) End(reply Reply, now int64) {
	if reply.Unclear() {
		return
	}
	operation := &o.history.operations[o.index]
	operation.Output, operation.Return = reply, now
}

// Len returns the number of operations.
func (h *History) Len() int { return len(h.operations) }

// ClearCount returns the number of operations with a clear response.
func (h *History) ClearCount() int {
	count := 0
	for index := range h.operations {
		if h.operations[index].Return != math.MaxInt64 {
			count++
		}
	}
	return count
}

// Check returns an error if no order of the calls explains the history, or if none was found
// within the limit.
func (h *History) Check(model porcupine.Model, limit time.Duration) error {
	switch porcupine.CheckOperationsTimeout(model, h.operations, limit) {
	case porcupine.Ok:
		return nil
	case porcupine.Illegal:
		return ErrNotLinearizable.New(h.describe(model))
	default:
		return ErrUndecided.New(fmt.Sprintf("%d operations not checked within %v", len(h.operations), limit))
	}
}

func (h *History) describe(model porcupine.Model) string {
	text := ""
	for index := range h.operations {
		operation := &h.operations[index]
		end := "open"
		if operation.Return != math.MaxInt64 {
			end = fmt.Sprintf("%.1f", float64(operation.Return)/1e6)
		}
		text += fmt.Sprintf("\n  %8.1f to %8s ms, client %d: %s", float64(operation.Call)/1e6, end, operation.ClientId, model.DescribeOperation(operation.Input, operation.Output))
	}
	return text
}
