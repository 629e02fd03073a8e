package leader

import (
	"bytes"
	"encoding/json"
	"errors"

	"lemonarch/internal/platform/constants"
)

// objectsPerItem is the number of JSON objects in an item: the item itself and its headers.
const objectsPerItem = 2

// exceedsItemLimit reports whether a job has more than constants.JobItemsMax items. It does not keep
// them in memory, since a body of permitted size may contain a million. For most jobs, counting the
// braces is enough to show that the limit is not exceeded.
func exceedsItemLimit(body []byte) bool {
	if bytes.Count(body, []byte{'{'}) <= 1+objectsPerItem*constants.JobItemsMax {
		return false
	}
	counted := struct {
		Requests countedList `json:"requests"`
	}{}
	// Other errors are ignored here: parseJob finds and reports them.
	return errors.Is(json.Unmarshal(body, &counted), errTooManyItems)
}

// errTooManyItems stops the count of a list.
var errTooManyItems = errors.New("too many items")

// countedList is a JSON list whose elements are counted up to constants.JobItemsMax and discarded.
type countedList struct{}

// UnmarshalJSON counts the elements. It returns errTooManyItems if there are too many.
func (*countedList) UnmarshalJSON(text []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	if token, err := decoder.Token(); err != nil || token != json.Delim('[') {
		return err
	}
	for count := 0; decoder.More(); count++ {
		if count == constants.JobItemsMax {
			return errTooManyItems
		}
		var element json.RawMessage
		if err := decoder.Decode(&element); err != nil {
			return err
		}
	}
	return nil
}
