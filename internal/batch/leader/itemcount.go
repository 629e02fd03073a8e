package leader

import (
	"bytes"
	"encoding/json"
	"errors"

	"lemonarch/internal/platform/constants"
)

// objectsPerItem is how many objects of JSON an item has: itself, and its headers.
const objectsPerItem = 2

// namesTooMany tells whether a job has more items than it may, without holding them all: a body of
// allowed length may name a million. Of most jobs the number of braces shows that they don't.
func exceedsItemLimit(body []byte) bool {
	if bytes.Count(body, []byte{'{'}) <= 1+objectsPerItem*constants.JobItemsMax {
		return false
	}
	counted := struct {
		Requests countedList `json:"requests"`
	}{}
	// What can't be read is found, and named, where the job is parsed.
	return errors.Is(json.Unmarshal(body, &counted), errTooManyItems)
}

// errTooManyItems ends the count of a list.
var errTooManyItems = errors.New("too many items")

// countedList is a list that is counted up to the most items of a job, and not kept.
type countedList struct{}

// UnmarshalJSON counts the elements.
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
