package executor

import (
	"testing"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// After an output was sent without a response, confirm requests are sent for it. The output is sent
// again if the dispatcher does not know it, and after AckConfirms confirm requests without a response.
// Acknowledgements without an output are sent again unchanged.
func TestOutputsAreConfirmedBeforeResend(t *testing.T) {
	q := &ackQueue{}
	q.add(messages.Acknowledgement{Number: 1, Kind: messages.AckAccept, Job: "j", Item: "i", Output: []byte("text")})
	q.add(messages.Acknowledgement{Number: 2, Kind: messages.AckReject, Job: "j", Item: "k"})
	expect := func(step string, kind messages.AckKind) []messages.Acknowledgement {
		t.Helper()
		batch := q.batch()
		if len(batch) == 0 || batch[0].Kind != kind || batch[0].Number != 1 || batch[0].Job != "j" || batch[0].Item != "i" || (len(batch[0].Output) > 0) != (kind == messages.AckAccept) {
			t.Fatalf("%s: got batch %+v, want first an acknowledgement of kind %d for acquisition 1", step, batch, kind)
		}
		return batch
	}
	batch := expect("first", messages.AckAccept)
	if len(batch) != 2 || batch[1].Kind != messages.AckReject {
		t.Fatalf("got first batch %+v, want an output and a rejection", batch)
	}
	q.handleVerdicts(batch, nil)
	batch = expect("no response to the output", messages.AckConfirm)
	if batch[1].Kind != messages.AckReject {
		t.Fatalf("got batch %+v, want the rejection sent again unchanged", batch)
	}
	q.handleVerdicts(batch, []messages.AckVerdict{messages.AckUnknown, messages.AckRecorded})
	batch = expect("not durable yet", messages.AckConfirm)
	q.handleVerdicts(batch, []messages.AckVerdict{messages.AckOutputNeeded})
	batch = expect("output unknown to the dispatcher", messages.AckAccept)
	for range constants.AckConfirms {
		q.handleVerdicts(batch, nil)
		batch = expect("no response", messages.AckConfirm)
	}
	batch = expect("no response to all confirm requests", messages.AckAccept)
	q.handleVerdicts(batch, []messages.AckVerdict{messages.AckRecorded})
	if len(q.batch()) != 0 || len(q.confirms) != 0 {
		t.Fatalf("got entries %+v and confirm counts %v after all final verdicts, want none", q.entries, q.confirms)
	}
}
