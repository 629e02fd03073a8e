package registerserver

import (
	"lemonarch/internal/control/register"
	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
	"lemonarch/internal/platform/recordlog"
)

// Prepare handles a request of the first round, or a query for the state on disk.
func (r *Replica) Prepare(req *messages.PrepareRequest) (messages.PrepareResponse, error) {
	if req.Query {
		return r.query(req), nil
	}
	if err := r.lockVoting(); err != nil {
		return messages.PrepareResponse{}, err
	}
	defer r.voting.Unlock()
	previous := r.acceptor.Record()
	resp, changed := r.acceptor.Prepare(req)
	if !changed {
		return resp, nil
	}
	if err := r.persistOrRevert(previous); err != nil {
		return messages.PrepareResponse{}, err
	}
	return resp, nil
}

// lockVoting locks voting, after waiting for earlier votes. If the wait exceeds
// constants.VoteWaitMax, the proposer will have given up before its second round, and the vote
// would only delay those queued behind it, so an error is returned.
func (r *Replica) lockVoting() error {
	startedAt := clock.Now()
	r.voting.Lock()
	if clock.Now().Sub(startedAt) <= constants.VoteWaitMax {
		return nil
	}
	r.voting.Unlock()
	return ErrBusy.New("vote waited too long for the disk")
}

// query responds with the state that has reached the disk: a vote that is still being written does
// not count yet.
func (r *Replica) query(req *messages.PrepareRequest) messages.PrepareResponse {
	resp, _ := register.NewAcceptor(r.Record()).Prepare(req)
	if req.Archive != nil {
		resp.Archive = r.archive.lookup(req.Archive)
	}
	return resp
}

// Accept handles a request of the second round.
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
	previous := r.acceptor.Record()
	resp, changed := r.acceptor.Accept(req)
	if !changed {
		return resp, false, nil
	}
	// The archive is written first: if the value reached the disk without its archived versions,
	// the archive would have a gap.
	if err := r.archive.extend(&req.Value); err != nil {
		r.acceptor = register.NewAcceptor(previous)
		return resp, false, err
	}
	if err := r.persistOrRevert(previous); err != nil {
		return resp, false, err
	}
	return resp, true, nil
}

// persistOrRevert writes the acceptor's record to disk before it is reported to any process. If
// that fails, the acceptor returns to its previous record and has promised nothing.
func (r *Replica) persistOrRevert(previous messages.AcceptorRecord) error {
	if err := r.persist(); err != nil {
		r.acceptor = register.NewAcceptor(previous)
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
		return ErrDisk.Wrap(err, "encode record")
	}
	if r.logfile.Size() > logfileLimit {
		// A failed rewrite is retried by the next vote, because the old file is still over the
		// limit.
		_, err = r.logfile.Rewrite(recordlog.Records(body))
		return ErrDisk.Wrap(err, "rewrite record file")
	}
	if _, err = r.logfile.Append(body); err == nil {
		err = r.logfile.Sync()
	}
	return ErrDisk.Wrap(err, "append record")
}
