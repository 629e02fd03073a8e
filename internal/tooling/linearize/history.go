// Package linearize records what the callers of the control side and of the lots see,
// and checks it against a sequential model: there must be one order of all calls, in
// which each takes effect at one moment between its beginning and its end, that
// explains every answer.
package linearize

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"lemonarch/internal/platform/errs"
)

// The errors of a check.
var (
	// ErrNotLinearizable means that no order of the calls explains the answers.
	ErrNotLinearizable = errs.Define("history not linearizable")
	// ErrUndecided means that the check was given up for want of time.
	ErrUndecided = errs.Define("history not decided")
)

// Reply is what a caller was told of an operation.
type Reply interface {
	// Unclear says that the operation may or may not have taken effect, or may yet.
	Unclear() bool
}

// History is the calls of all clients. An operation that a client sends again
// unchanged, because it has no clear answer yet, is one operation.
type History struct {
	operations []porcupine.Operation
}

// Operation is one operation under way.
type Operation struct {
	history *History
	index   int
}

// Begin notes that a client begins an operation at a moment. Until it ends, it counts
// as unclear.
func (h *History) Begin(client int, input any, unclear Reply, now int64) *Operation {
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: input, Call: now, Output: unclear, Return: math.MaxInt64,
	})
	return &Operation{history: h, index: len(h.operations) - 1}
}

// End notes its clear answer; an unclear one leaves it open for ever.
func (o *Operation) End(reply Reply, now int64) {
	if reply.Unclear() {
		return
	}
	operation := &o.history.operations[o.index]
	operation.Output, operation.Return = reply, now
}

// Len is the number of operations.
func (h *History) Len() int { return len(h.operations) }

// Clear is the number of operations with a clear answer.
func (h *History) Clear() int {
	count := 0
	for index := range h.operations {
		if h.operations[index].Return != math.MaxInt64 {
			count++
		}
	}
	return count
}

// Check gives an error where no order explains the history.
func (h *History) Check(model porcupine.Model, limit time.Duration) error {
	switch porcupine.CheckOperationsTimeout(model, h.operations, limit) {
	case porcupine.Ok:
		return nil
	case porcupine.Illegal:
		return ErrNotLinearizable.New(h.describe(model))
	default:
		return ErrUndecided.New(fmt.Sprintf("%d operations in %v", len(h.operations), limit))
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
