package carriage

import (
	"lemonarch/internal/chisel"
	"lemonarch/internal/mishap"
	"lemonarch/internal/workbench"
)

func (letter *Letter) wait() chisel.Wait {
	return chisel.Wait{Until: letter.Until, Patience: letter.Patience, Impatient: letter.Impatient}
}

// send writes the letter on a pipe and waits for the first byte that comes back.
func (courier *Courier) send(grant *workbench.Grant, letter *Letter) (*chisel.Pipe, Evidence, error) {
	reuse := chisel.ReuseSafe
	if letter.Repeatable {
		reuse = chisel.ReuseAny
	}
	for {
		pipe, failure := courier.Chest.Get(grant.Worker, courier.Budget(grant.Worker), reuse)
		if failure != nil {
			return nil, Evidence{Sent: reuse == chisel.ReuseNone}, NotSent.Wrap(failure, grant.Worker.ID)
		}
		if letter.Halt != nil {
			letter.Halt(pipe)
		}
		if failure = pipe.Send(letter.Text, letter.Until); failure == nil {
			failure = pipe.Await(letter.wait())
		}
		if failure == nil {
			courier.Chest.Survived(pipe)
			return pipe, Evidence{Sent: true}, nil
		}
		courier.Chest.Drop(pipe)
		if !pipe.Reused || !mishap.Of(failure, chisel.Broken) || pipe.Halted() {
			return nil, Evidence{Sent: true}, Lost.Wrap(failure, grant.Worker.ID)
		}
		// Broken before any byte came back, on a pipe that had lain idle: most likely
		// forgotten. It may have run all the same, so only what is repeatable goes again,
		// to the same worker and on a pipe that can't have been forgotten.
		courier.Chest.Forgotten(pipe)
		if !letter.Repeatable {
			return nil, Evidence{Sent: true}, Stale.Wrap(failure, grant.Worker.ID)
		}
		reuse = chisel.ReuseNone
	}
}
