package quorum

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
)

// Prepare answers a first round, or a query about what is on disk.
func (replica *Register) Prepare(question *messages.Prepare) (messages.Promise, error) {
	if question.Query {
		return replica.query(question), nil
	}
	if err := replica.begin(); err != nil {
		return messages.Promise{}, err
	}
	defer replica.voting.Unlock()
	before := replica.acceptor.Record()
	answer, changed := replica.acceptor.Prepare(question)
	if !changed {
		return answer, nil
	}
	if err := replica.keep(before); err != nil {
		return messages.Promise{}, err
	}
	return answer, nil
}

// begin waits for the votes before. Who has waited for long will have given up before a
// second round: such votes would only keep those behind them waiting too.
func (replica *Register) begin() error {
	asked := clock.Now()
	replica.voting.Lock()
	if clock.Now().Since(asked) <= constants.VoteWait {
		return nil
	}
	replica.voting.Unlock()
	return Busy.New("votes wait for the disk")
}

// query answers from what has reached the disk: a vote that is still being written
// has not been given.
func (replica *Register) query(question *messages.Prepare) messages.Promise {
	answer, _ := register.NewAcceptor(replica.Record()).Prepare(question)
	if question.Archive != nil {
		answer.Archive = replica.archive.answer(question.Archive)
	}
	return answer
}

// Accept answers a second round.
func (replica *Register) Accept(question *messages.Accept) (messages.Accepted, error) {
	replica.fillArchive(question)
	answer, changed, err := replica.vote(question)
	if err != nil {
		return messages.Accepted{}, err
	}
	if changed && replica.Accepted != nil {
		replica.Accepted(question.Value.Current.Generation)
	}
	return answer, nil
}

func (replica *Register) vote(question *messages.Accept) (messages.Accepted, bool, error) {
	if err := replica.begin(); err != nil {
		return messages.Accepted{}, false, err
	}
	defer replica.voting.Unlock()
	before := replica.acceptor.Record()
	answer, changed := replica.acceptor.Accept(question)
	if !changed {
		return answer, false, nil
	}
	// The archive first: a value on disk whose past is not would leave a gap.
	if err := replica.archive.extend(&question.Value); err != nil {
		replica.acceptor = register.NewAcceptor(before)
		return answer, false, err
	}
	if err := replica.keep(before); err != nil {
		return answer, false, err
	}
	return answer, true, nil
}

// keep puts the acceptor's record on disk before anybody is told of it. Where that
// fails the acceptor goes back to the record before: it has promised nothing.
func (replica *Register) keep(before messages.AcceptorRecord) error {
	if err := replica.persist(); err != nil {
		replica.acceptor = register.NewAcceptor(before)
		return err
	}
	record := replica.acceptor.Record()
	replica.lock.Lock()
	replica.durable = record
	replica.lock.Unlock()
	return nil
}

// persist writes the record and syncs it.
func (replica *Register) persist() error {
	record := replica.acceptor.Record()
	body, err := record.MarshalMsg(nil)
	if err != nil {
		return Damaged.Wrap(err, "record")
	}
	if replica.logfile.Size() > logfileLimit {
		// A rewrite that failed is tried again by the next vote, as the old file is
		// still as long.
		_, err = replica.logfile.Rewrite(recordlog.Once(body))
		return Damaged.Wrap(err, "rewrite")
	}
	if _, err = replica.logfile.Append(body); err == nil {
		err = replica.logfile.Sync()
	}
	return Damaged.Wrap(err, "append")
}
