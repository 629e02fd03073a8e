package quorum

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
)

// Prepare answers a first round, or a query about what is on disk.
func (r *Register) Prepare(question *messages.Prepare) (messages.Promise, error) {
	if question.Query {
		return r.query(question), nil
	}
	if err := r.begin(); err != nil {
		return messages.Promise{}, err
	}
	defer r.voting.Unlock()
	before := r.acceptor.Record()
	answer, changed := r.acceptor.Prepare(question)
	if !changed {
		return answer, nil
	}
	if err := r.keep(before); err != nil {
		return messages.Promise{}, err
	}
	return answer, nil
}

// begin waits for the votes before. Who has waited for long will have given up before a
// second round: such votes would only keep those behind them waiting too.
func (r *Register) begin() error {
	asked := clock.Now()
	r.voting.Lock()
	if clock.Now().Since(asked) <= constants.VoteWait {
		return nil
	}
	r.voting.Unlock()
	return Busy.New("votes wait for the disk")
}

// query answers from what has reached the disk: a vote that is still being written
// has not been given.
func (r *Register) query(question *messages.Prepare) messages.Promise {
	answer, _ := register.NewAcceptor(r.Record()).Prepare(question)
	if question.Archive != nil {
		answer.Archive = r.archive.answer(question.Archive)
	}
	return answer
}

// Accept answers a second round.
func (r *Register) Accept(question *messages.Accept) (messages.Accepted, error) {
	r.fillArchive(question)
	answer, changed, err := r.vote(question)
	if err != nil {
		return messages.Accepted{}, err
	}
	if changed && r.Accepted != nil {
		r.Accepted(question.Value.Current.Generation)
	}
	return answer, nil
}

func (r *Register) vote(question *messages.Accept) (messages.Accepted, bool, error) {
	if err := r.begin(); err != nil {
		return messages.Accepted{}, false, err
	}
	defer r.voting.Unlock()
	before := r.acceptor.Record()
	answer, changed := r.acceptor.Accept(question)
	if !changed {
		return answer, false, nil
	}
	// The archive first: a value on disk whose past is not would leave a gap.
	if err := r.archive.extend(&question.Value); err != nil {
		r.acceptor = register.NewAcceptor(before)
		return answer, false, err
	}
	if err := r.keep(before); err != nil {
		return answer, false, err
	}
	return answer, true, nil
}

// keep puts the acceptor's record on disk before anybody is told of it. Where that
// fails the acceptor goes back to the record before: it has promised nothing.
func (r *Register) keep(before messages.AcceptorRecord) error {
	if err := r.persist(); err != nil {
		r.acceptor = register.NewAcceptor(before)
		return err
	}
	record := r.acceptor.Record()
	r.lock.Lock()
	r.durable = record
	r.lock.Unlock()
	return nil
}

// persist writes the record and syncs it.
func (r *Register) persist() error {
	record := r.acceptor.Record()
	body, err := record.MarshalMsg(nil)
	if err != nil {
		return Damaged.Wrap(err, "record")
	}
	if r.logfile.Size() > logfileLimit {
		// A rewrite that failed is tried again by the next vote, as the old file is
		// still as long.
		_, err = r.logfile.Rewrite(recordlog.Once(body))
		return Damaged.Wrap(err, "rewrite")
	}
	if _, err = r.logfile.Append(body); err == nil {
		err = r.logfile.Sync()
	}
	return Damaged.Wrap(err, "append")
}
