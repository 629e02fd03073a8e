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
}

// surplusLimit is how many answers to earlier requests are read past.
const surplusLimit = 2

// Carry sends the letter and reads the head of its answer.
func (courier *Courier) Carry(grant *workbench.Grant, letter *Letter) (*Delivery, Evidence, error) {
	// A drain acknowledged since the grant binds: look once more before sending.
	if !courier.Bench.Allowed(grant.Worker.ID, watch.Now()) {
		return nil, Evidence{}, NotSent.New("worker is leaving")
	}
	pipe, failure := courier.Chest.Get(grant.Worker, courier.Budget(grant.Worker))
	if failure != nil {
		return nil, Evidence{}, NotSent.Wrap(failure, grant.Worker.ID)
	}
	if letter.Halt != nil {
		letter.Halt(pipe)
	}
	evidence := Evidence{Sent: true}
	if failure = pipe.Send(letter.Text, letter.Until); failure == nil {
		failure = pipe.Await(letter.Until, letter.Patience)
	}
	if failure != nil {
		courier.Chest.Drop(pipe)
		return nil, evidence, Lost.Wrap(failure, grant.Worker.ID)
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
				if failure = pipe.Await(letter.Until, letter.Patience); failure == nil {
					continue
				}
			}
			courier.Chest.Drop(pipe)
			return nil, evidence, Spoilt.New("another request's answer")
		}
		delivery := &Delivery{Answer: answer, Pipe: pipe, Load: answer.Header.Get(headerLoad)}
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
			if failure := delivery.Pipe.Await(until, patience); failure != nil {
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
