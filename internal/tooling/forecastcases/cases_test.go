package forecastcases

import (
	"bytes"
	"testing"
)

// Of 30 generated cases the family that tightened is the one that was named in at least 27, and of
// the classes called late or not late nine in ten come out so.
func TestForecastsMatchOutcomes(t *testing.T) {
	var results []*Result
	for number := range 30 {
		result, err := Play(Generate(number, 1), 1)
		if err != nil {
			t.Fatal(err)
		}
		results = append(results, result)
	}
	summary := Summarize(results)
	var text bytes.Buffer
	_ = Table(&text, results)
	t.Log(text.String())
	if summary.RightFamily < 27 || summary.RightClasses*10 < summary.Classes*9 {
		t.Errorf("%+v", summary)
	}
}
