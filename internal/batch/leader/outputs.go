package leader

import (
	"encoding/json"
	"net/http"

	"lemonarch/internal/batch/dispatch"
	"lemonarch/internal/batch/outputcodec"
	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// outputPage is the response to a read of a job (PROTOCOL, lots).
type outputPage struct {
	Sum     int           `json:"sum"`
	Next    int           `json:"next-token"`
	Outputs []outputEntry `json:"outputs"`
}

// outputEntry is the result of one item.
type outputEntry struct {
	ID    string `json:"id"`
	Phase string `json:"phase"`
	Text  string `json:"text"`
}

// The phases of a result (PROTOCOL).
const (
	phaseSettled   = "settled"
	phaseAbandoned = "abandoned"
)

// page returns the results from a position on, limited to constants.PageBytes but at least one.
func (t *Term) page(total, cursor int, listings []dispatch.Listing) *messages.JobCallResponse {
	page := outputPage{Sum: total, Next: cursor, Outputs: []outputEntry{}}
	size := 0
	for i := cursor; i < len(listings); i++ {
		output, err := t.output(listings[i].Index)
		if err != nil {
			t.process.Node.Log.Error("failed to read output", "err", err.Error())
			return errorResponse(http.StatusServiceUnavailable, "output can't be read now")
		}
		if size += len(output) + recordOverhead; size > constants.PageBytes && i > cursor {
			break
		}
		phase := phaseSettled
		if listings[i].Abandoned {
			phase = phaseAbandoned
		}
		page.Outputs = append(page.Outputs, outputEntry{ID: listings[i].Item, Phase: phase, Text: string(output)})
		page.Next = i + 1
	}
	body, err := json.Marshal(page)
	if err != nil {
		return errorResponse(http.StatusInternalServerError, "page can't be written")
	}
	return &messages.JobCallResponse{Status: http.StatusOK, Body: body}
}

// output returns the text of an output, from memory if its record is still there and from disk
// otherwise.
func (t *Term) output(index int64) ([]byte, error) {
	t.lock.Lock()
	if record := t.recentAt(index); record != nil {
		body, compressed := record.Body, record.Compressed
		t.lock.Unlock()
		return outputcodec.Decompress(body, compressed)
	}
	t.lock.Unlock()
	record, err := t.process.Log.Read(index)
	if err != nil {
		return nil, err
	}
	return outputcodec.Decompress(record.Body, record.Compressed)
}

// itemBody returns the body of an item as submitted.
func (t *Term) itemBody(call *messages.JobCallRequest) *messages.JobCallResponse {
	t.lock.Lock()
	job := t.jobs.Job(call.Job)
	if job == nil {
		t.lock.Unlock()
		return errorResponse(http.StatusNotFound, "no such lot")
	}
	item := job.Item(call.Item)
	if item == nil {
		t.lock.Unlock()
		return errorResponse(http.StatusNotFound, "no such item")
	}
	body, index := item.Body, job.Index
	t.lock.Unlock()
	if body == nil {
		// The item is listed or its job has ended. The body is still in the job's record.
		var err error
		if body, err = t.submittedBody(index, call.Item); err != nil {
			return errorResponse(http.StatusServiceUnavailable, "body can't be read now")
		}
	}
	return &messages.JobCallResponse{Status: http.StatusOK, ContentType: "application/octet-stream", Body: body}
}

// submittedBody reads the body of an item from the record of its job. It returns nil without an
// error if the job has no such item.
func (t *Term) submittedBody(index int64, itemID string) ([]byte, error) {
	record, err := t.process.Log.Read(index)
	if err != nil {
		return nil, err
	}
	submitted := &messages.JobBody{}
	if _, err = submitted.UnmarshalMsg(record.Body); err != nil {
		return nil, dispatch.ErrMalformed.Wrap(err, "job of item "+itemID)
	}
	for i := range submitted.Items {
		if submitted.Items[i].ID == itemID {
			return submitted.Items[i].Body, nil
		}
	}
	return nil, nil
}
