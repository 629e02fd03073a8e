package forecastcases

import (
	"bytes"
	"testing"
)

// TestForecastsMatchOutcomes guards against a loss of accuracy of the forecast: in at least 27 of 30
// generated cases the family that runs short must be the predicted one, and for nine in ten classes the
// prediction whether they become late must be right.
func TestForecastsMatchOutcomes(t *testing.T) {
	var results []*Result
	for number := range 30 {
		result, err := Run(Generate(number, 1), 1)
		if err != nil {
			t.Fatal(err)
		}
		results = append(results, result)
	}
	summary := Summarize(results)
	var text bytes.Buffer
	_ = Table(&text, results)
	t.Log(text.String())
	if summary.CorrectFamilies < 27 || summary.CorrectClasses*10 < summary.Classes*9 {
		t.Errorf("got %+v, want at least 27 right families and 90%% right classes", summary)
	}
}
