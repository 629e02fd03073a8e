package proxy

import (
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/workerconn"
)

func (outgoing *Request) wait() workerconn.Wait {
	return workerconn.Wait{Until: outgoing.Until, Patience: outgoing.Patience, Impatient: outgoing.Impatient}
}

// send writes the request on a connection and waits for the first byte that comes back.
func (sender *Sender) send(grant *admission.Grant, outgoing *Request) (*workerconn.Connection, Evidence, error) {
	reuse, evidence := workerconn.ReuseSafe, Evidence{}
	if outgoing.Repeatable {
		reuse = workerconn.ReuseAny
	}
	for {
		connection, err := sender.Pool.Get(grant.Worker, sender.Budget(grant.Worker), outgoing.Attempt, reuse)
		if err != nil {
			return nil, evidence, NotSent.Wrap(err, grant.Worker.ID)
		}
		if outgoing.Halt != nil {
			outgoing.Halt(connection)
		}
		err = connection.Send(outgoing.Attempt, outgoing.Text, outgoing.Until)
		if !errs.Of(err, workerconn.Unsent) {
			evidence.Sent = true
		}
		if err == nil {
			err = connection.Await(outgoing.wait())
		}
		if err == nil {
			sender.Pool.Survived(connection)
			return connection, evidence, nil
		}
		sender.Pool.Drop(connection)
		if again, failure := sender.afterBreak(connection, outgoing, evidence, err); !again {
			return nil, evidence, failure.Wrap(err, grant.Worker.ID)
		}
		reuse = workerconn.ReuseNone
	}
}

// afterBreak decides on a connection that broke before any byte came back: whether the
// request goes again to the same worker on a new connection, and else what befell it.
func (sender *Sender) afterBreak(connection *workerconn.Connection, outgoing *Request, evidence Evidence, err error) (again bool, failure *errs.Kind) {
	failure = Lost
	if !evidence.Sent {
		failure = NotSent
	}
	if !connection.Reused || connection.Halted() || errs.Of(err, workerconn.Silent) {
		return false, failure
	}
	// On a connection that had lain idle it was most likely forgotten. The request may have
	// run all the same: only what is repeatable, or was not sent at all, goes again.
	sender.Pool.Forgotten(connection)
	if evidence.Sent && !outgoing.Repeatable {
		return false, Stale
	}
	return true, nil
}
