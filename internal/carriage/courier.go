package carriage

import (
	"io"
	"net/http"

	"lemonarch/internal/chisel"
	"lemonarch/internal/mishap"
	"lemonarch/internal/pattern"
	"lemonarch/internal/watch"
	"lemonarch/internal/workbench"
)

// The mishaps of a try at a worker.
var (
	// NotSent: no byte reached a worker.
	NotSent = mishap.Define("not sent")
	// Spoilt: what came is not the answer to the request.
	Spoilt = mishap.Define("answer spoilt")
	// Lost: silence, a reset or a cut after sending.
	Lost = mishap.Define("answer lost")
	// Stale: the worker had forgotten the idle pipe; this says nothing about its vitals.
	Stale = mishap.Define("pipe forgotten")
)

// Courier carries one request to one worker. Forges and lockers share it.
type Courier struct {
	Bench *workbench.Workbench
	Chest *chisel.Chest
	// Budget is how many pipes this process may have to a worker.
	Budget func(worker pattern.Worker) int
}

// Letter is what is carried.
type Letter struct {
	Method   string
	Attempt  string
	Text     []byte
	Until    watch.Moment
	Patience watch.Span
	// Impatient decides on a silence longer than Patience, see chisel.Wait.
	Impatient func(silence watch.Span) bool
	// Repeatable: it may travel on any idle pipe, and is sent again when its worker has
	// forgotten that pipe.
	Repeatable bool
	// Seal says that a success must carry the worker's stamp.
	Seal bool
	// Halt is given the pipe, so that it can be closed from outside.
	Halt func(pipe *chisel.Pipe)
}

// Delivery is an answer whose head was read.
type Delivery struct {
	Answer *http.Response
	Pipe   *chisel.Pipe
	Load   string
	NotRun bool
	// Impatient is asked about silences in the stream.
	Impatient func(silence watch.Span) bool
}

// surplusLimit is how many answers to earlier requests are read past.
const surplusLimit = 2

// Carry sends the letter and reads the head of its answer.
func (courier *Courier) Carry(grant *workbench.Grant, letter *Letter) (*Delivery, Evidence, error) {
	// A drain acknowledged since the grant binds: look once more before sending.
	if !courier.Bench.Allowed(grant.Worker.ID, watch.Now()) {
		return nil, Evidence{}, NotSent.New("worker is leaving")
	}
	pipe, evidence, failure := courier.send(grant, letter)
	if failure != nil {
		return nil, evidence, failure
	}
	for surplus := 0; ; surplus++ {
		answer, failure := pipe.Answer(letter.Method)
		if failure != nil {
			courier.Chest.Drop(pipe)
			return nil, evidence, Spoilt.Wrap(failure, grant.Worker.ID)
		}
		if echoed := answer.Header.Get(headerAttempt); echoed != "" && echoed != letter.Attempt {
			// A late answer of an earlier request stands where ours is expected:
			// it belongs to nobody now, and ours comes behind it.
			_, failure = io.Copy(io.Discard, answer.Body)
			if failure == nil && surplus < surplusLimit && !answer.Close {
				if failure = pipe.Await(letter.wait()); failure == nil {
					continue
				}
			}
			courier.Chest.Drop(pipe)
			return nil, evidence, Spoilt.New("another request's answer")
		}
		delivery := &Delivery{Answer: answer, Pipe: pipe, Impatient: letter.Impatient, Load: answer.Header.Get(headerLoad)}
		delivery.NotRun = answer.Header.Get(headerNotRun) != "" || answer.StatusCode == http.StatusMisdirectedRequest
		if answer.StatusCode < 300 && letter.Seal &&
			(answer.Header.Get(headerSeal) == "" || answer.Header.Get("Content-Encoding") != "") {
			courier.Chest.Drop(pipe)
			return nil, evidence, Spoilt.New("success without the worker's stamp")
		}
		evidence.NotRun = delivery.NotRun
		return delivery, evidence, nil
	}
}

// Finish puts the pipe back after the whole answer was read.
func (courier *Courier) Finish(delivery *Delivery) {
	courier.Chest.Keep(delivery.Pipe, delivery.Answer)
}

// Abandon ends the pipe: the worker drops what it still does.
func (courier *Courier) Abandon(delivery *Delivery) { courier.Chest.Drop(delivery.Pipe) }

// ReadBody reads up to a limit; whole tells that nothing is left. A failure means
// that the answer was cut.
func (courier *Courier) ReadBody(delivery *Delivery, limit int) (body []byte, whole bool, failure error) {
	body, failure = io.ReadAll(io.LimitReader(delivery.Answer.Body, int64(limit)+1))
	if failure != nil {
		return body, false, Lost.Wrap(failure, "body")
	}
	return body, len(body) <= limit, nil
}

// Stream reads an event stream: each is given whole events as they come. It
// returns nil at the clean end.
func (courier *Courier) Stream(delivery *Delivery, splitter *Splitter, until watch.Moment, patience watch.Span, each func(events []byte) error) error {
	buffer := make([]byte, 8<<10)
	chunked := delivery.Answer.ContentLength < 0
	for {
		if chunked {
			if failure := delivery.Pipe.Await(chisel.Wait{Until: until, Patience: patience, Impatient: delivery.Impatient}); failure != nil {
				return Lost.Wrap(failure, "stream")
			}
		}
		count, failure := delivery.Answer.Body.Read(buffer)
		if count > 0 {
			events, follows := splitter.Feed(buffer[:count])
			if len(events) > 0 {
				if problem := each(events); problem != nil {
					return problem
				}
			}
			if !follows {
				return Spoilt.New("events do not follow each other")
			}
		}
		if failure == io.EOF {
			if len(splitter.Rest()) > 0 {
				return Spoilt.New("stream ends inside an event")
			}
			return nil
		}
		if failure != nil {
			return Lost.Wrap(failure, "stream")
		}
	}
}
