package leader

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Too many items in a job must be detected before the items are decoded into memory. Braces within
// strings must not count as items.
func TestItemLimitIsCheckedBeforeDecoding(t *testing.T) {
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
	for name, test := range map[string]struct {
		body    string
		exceeds bool
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
		if got := exceedsItemLimit([]byte(test.body)); got != test.exceeds {
			t.Errorf("%s: exceedsItemLimit returned %t, want %t", name, got, test.exceeds)
		}
	}
	_, _, status, cause := parseJob(&messages.JobCallRequest{Path: "/b/", Body: []byte(list(constants.JobItemsMax+1, "i"))})
	if status != http.StatusRequestEntityTooLarge {
		t.Errorf("job with one item too many: status %d, reason %q; want status %d",
			status, cause, http.StatusRequestEntityTooLarge)
	}
	if body, _, _, cause := parseJob(&messages.JobCallRequest{Path: "/b/", Body: []byte(list(constants.JobItemsMax, braces))}); body == nil || len(body.Items) != constants.JobItemsMax {
		t.Errorf("job with as many items as permitted was rejected or lost items, reason %q", cause)
	}
}
