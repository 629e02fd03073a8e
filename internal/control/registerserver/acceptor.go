package registerserver

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
)

// Prepare answers a first round, or a query about what is on disk.
func (r *Replica) Prepare(req *messages.PrepareRequest) (messages.PrepareResponse, error) {
	if req.Query {
		return r.query(req), nil
	}
	if err := r.lockVoting(); err != nil {
		return messages.PrepareResponse{}, err
	}
	defer r.voting.Unlock()
	before := r.acceptor.Record()
	resp, changed := r.acceptor.Prepare(req)
	if !changed {
		return resp, nil
	}
	if err := r.persistOrRevert(before); err != nil {
		return messages.PrepareResponse{}, err
	}
	return resp, nil
}

// lockVoting waits for the votes before. Who has waited for long will have given up before a
// second round: such votes would only keep those behind them waiting too.
func (r *Replica) lockVoting() error {
	sentAt := clock.Now()
	r.voting.Lock()
	if clock.Now().Sub(sentAt) <= constants.VoteWaitMax {
		return nil
	}
	r.voting.Unlock()
	return ErrBusy.New("votes wait for the disk")
}

// query answers from what has reached the disk: a vote that is still being written
// has not been given.
func (r *Replica) query(req *messages.PrepareRequest) messages.PrepareResponse {
	resp, _ := register.NewAcceptor(r.Record()).Prepare(req)
	if req.Archive != nil {
		resp.Archive = r.archive.lookup(req.Archive)
	}
	return resp
}

// Accept answers a second round.
func (r *Replica) Accept(req *messages.AcceptRequest) (messages.AcceptResponse, error) {
	r.fillArchive(req)
	resp, changed, err := r.vote(req)
	if err != nil {
		return messages.AcceptResponse{}, err
	}
	if changed && r.OnAccepted != nil {
		r.OnAccepted(req.Value.Current.Generation)
	}
	return resp, nil
}

func (r *Replica) vote(req *messages.AcceptRequest) (messages.AcceptResponse, bool, error) {
	if err := r.lockVoting(); err != nil {
		return messages.AcceptResponse{}, false, err
	}
	defer r.voting.Unlock()
	before := r.acceptor.Record()
	resp, changed := r.acceptor.Accept(req)
	if !changed {
		return resp, false, nil
	}
	// The archive first: a value on disk whose past is not would leave a gap.
	if err := r.archive.extend(&req.Value); err != nil {
		r.acceptor = register.NewAcceptor(before)
		return resp, false, err
	}
	if err := r.persistOrRevert(before); err != nil {
		return resp, false, err
	}
	return resp, true, nil
}

// persistOrRevert puts the acceptor's record on disk before anybody is told of it. Where that
// fails the acceptor goes back to the record before: it has promised nothing.
func (r *Replica) persistOrRevert(before messages.AcceptorRecord) error {
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
func (r *Replica) persist() error {
	record := r.acceptor.Record()
	body, err := record.MarshalMsg(nil)
	if err != nil {
		return ErrDisk.Wrap(err, "record")
	}
	if r.logfile.Size() > logfileLimit {
		// A rewrite that failed is tried again by the next vote, as the old file is
		// still as long.
		_, err = r.logfile.Rewrite(recordlog.Records(body))
		return ErrDisk.Wrap(err, "rewrite")
	}
	if _, err = r.logfile.Append(body); err == nil {
		err = r.logfile.Sync()
	}
	return ErrDisk.Wrap(err, "append")
}
