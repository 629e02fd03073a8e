package proxy

import (
	"lemonarch/internal/platform/errs"
	"lemonarch/internal/traffic/admission"
	"lemonarch/internal/traffic/workerconn"
)

func (outgoing *Request) wait() workerconn.Wait {
	return workerconn.Wait{Until: outgoing.Until, Patience: outgoing.Patience, Impatient: outgoing.Impatient}
}

// send writes the letter on a connection and waits for the first byte that comes back.
func (sender *Sender) send(grant *admission.Grant, outgoing *Request) (*workerconn.Connection, Evidence, error) {
	reuse := workerconn.ReuseSafe
	if outgoing.Repeatable {
		reuse = workerconn.ReuseAny
	}
	for {
		connection, err := sender.Chest.Get(grant.Worker, sender.Budget(grant.Worker), reuse)
		if err != nil {
			return nil, Evidence{Sent: reuse == workerconn.ReuseNone}, NotSent.Wrap(err, grant.Worker.ID)
		}
		if outgoing.Halt != nil {
			outgoing.Halt(connection)
		}
		if err = connection.Send(outgoing.Text, outgoing.Until); err == nil {
			err = connection.Await(outgoing.wait())
		}
		if err == nil {
			sender.Chest.Survived(connection)
			return connection, Evidence{Sent: true}, nil
		}
		sender.Chest.Drop(connection)
		if !connection.Reused || !errs.Of(err, workerconn.Broken) || connection.Halted() {
			return nil, Evidence{Sent: true}, Lost.Wrap(err, grant.Worker.ID)
		}
		// Broken before any byte came back, on a connection that had lain idle: most likely
		// forgotten. It may have run all the same, so only what is repeatable goes again,
		// to the same worker and on a connection that can't have been forgotten.
		sender.Chest.Forgotten(connection)
		if !outgoing.Repeatable {
			return nil, Evidence{Sent: true}, Stale.Wrap(err, grant.Worker.ID)
		}
		reuse = workerconn.ReuseNone
	}
}
