package trestle

import (
	"sort"
	"strconv"

	"lemonarch/internal/almanac"
	"lemonarch/internal/bellows"
	"lemonarch/internal/pattern"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

// Report registers what this process says to a query of the shell. Reports read
// only, and are short.
func (trestle *Trestle) Report(query string, report func() *pattern.Status) {
	trestle.reports[query] = report
}

func (trestle *Trestle) reported(body []byte) ([]byte, error) {
	question := &pattern.StatusAsk{}
	if failure := tongs.Read(body, question); failure != nil {
		return nil, failure
	}
	answer := &pattern.Status{}
	if report := trestle.reports[question.Query]; report != nil {
		answer = report()
	}
	if question.Hall != "" {
		answer.Rows = ofHall(answer, question.Hall)
	}
	if len(answer.Rows) > almanac.StatusRows {
		// A bounded answer costs a node little; the cut is told.
		left := len(answer.Rows) - almanac.StatusRows
		answer.Rows = answer.Rows[:almanac.StatusRows]
		more := make([]string, len(answer.Columns))
		more[0] = "(" + strconv.Itoa(left) + " more)"
		answer.Rows = append(answer.Rows, more)
	}
	return tongs.Write(answer)
}

// ofHall keeps the rows that name a hall in their column of that name.
func ofHall(status *pattern.Status, hall string) [][]string {
	var kept [][]string
	for place, column := range status.Columns {
		if column != "hall" {
			continue
		}
		for _, row := range status.Rows {
			if place < len(row) && row[place] == hall {
				kept = append(kept, row)
			}
		}
	}
	return kept
}

// reportHalls counts the processes that this one knows by hall.
func (trestle *Trestle) reportHalls() *pattern.Status {
	counts, halls := map[string]int{}, []string{}
	for _, entry := range append([]pattern.Entry{trestle.Own}, trestle.All("")...) {
		if counts[entry.Hall] == 0 {
			halls = append(halls, entry.Hall)
		}
		counts[entry.Hall]++
	}
	sort.Strings(halls)
	status := &pattern.Status{Columns: []string{"hall", "processes"}}
	for _, hall := range halls {
		status.Rows = append(status.Rows, []string{hall, strconv.Itoa(counts[hall])})
	}
	return status
}

// reportNodes lists the view of this process, itself first.
func (trestle *Trestle) reportNodes() *pattern.Status {
	status := &pattern.Status{Columns: []string{"process", "hall", "address", "heard-ms", "generation", "leaving"}}
	own := trestle.Own
	own.Generation = trestle.Generation()
	for _, entry := range append([]pattern.Entry{own}, trestle.All("")...) {
		status.Rows = append(status.Rows, []string{bellows.Key(entry), entry.Hall, entry.Address,
			strconv.FormatInt(entry.AgeMs, 10), strconv.FormatInt(entry.Generation, 10), strconv.FormatBool(entry.Leaving)})
	}
	return status
}

// reportSelf is one line on this process.
func (trestle *Trestle) reportSelf() *pattern.Status {
	return &pattern.Status{Columns: []string{"generation", "life-s", "view", "unknown-frames"}, Rows: [][]string{{
		strconv.FormatInt(trestle.Generation(), 10), strconv.FormatInt((watch.Wall()-trestle.Own.Life)/1_000_000_000, 10),
		strconv.Itoa(len(trestle.All(""))), trestle.unknownFrames()}}}
}

func (trestle *Trestle) unknownFrames() string {
	if wire, real := trestle.Wire.(*tongs.Wire); real {
		return strconv.FormatInt(wire.Unknown(), 10)
	}
	return "0"
}
