package leader

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Whether a job has too many items is known before they are held, and braces in its texts count for
// nothing.
func TestItemsAreCountedBeforeTheyAreHeld(t *testing.T) {
	braces := strings.Repeat("{", 3*constants.JobItemsMax)
	item := func(number int, id string) string {
		return fmt.Sprintf(`{"id":"%s%d","path":"/b/1","headers":{"H":"v"}}`, id, number)
	}
	list := func(count int, id string) string {
		items := make([]string, count)
		for number := range items {
			items[number] = item(number, id)
		}
		return `{"later":[{}],"requests":[` + strings.Join(items, ",") + `]}`
	}
	for name, found := range map[string]struct {
		body string
		many bool
	}{
		"the most":             {list(constants.JobItemsMax, "i"), false},
		"one more":             {list(constants.JobItemsMax+1, "i"), true},
		"a million":            {`{"requests":[` + strings.Repeat("{},", 1_000_000) + `{}]}`, true},
		"braces in an id":      {list(2, braces), false},
		"the most with braces": {list(constants.JobItemsMax, braces), false},
		"no list":              {`{"requests":{}` + braces, false},
		"cut short":            {list(constants.JobItemsMax, "i")[:9000] + braces, false},
		"deep":                 {`{"requests":` + strings.Repeat(`[{"a":`, 2000), false},
	} {
		if got := exceedsItemLimit([]byte(found.body)); got != found.many {
			t.Error(name, got)
		}
	}
	_, _, status, cause := parseJob(&messages.JobCallRequest{Path: "/b/", Body: []byte(list(constants.JobItemsMax+1, "i"))})
	if status != http.StatusRequestEntityTooLarge {
		t.Error(status, cause)
	}
	if body, _, _, cause := parseJob(&messages.JobCallRequest{Path: "/b/", Body: []byte(list(constants.JobItemsMax, braces))}); body == nil || len(body.Items) != constants.JobItemsMax {
		t.Error(cause)
	}
}
