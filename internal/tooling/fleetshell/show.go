package fleetshell

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Table writes answers for people: a table for each set of columns.
func Table(writer io.Writer, answers []Answer) {
	var silent []string
	table := tabwriter.NewWriter(writer, 0, 4, 2, ' ', 0)
	last := ""
	for _, answer := range answers {
		if answer.Silent {
			silent = append(silent, answer.Process)
			continue
		}
		if columns := strings.Join(answer.Status.Columns, "\t"); columns != "" && columns != last && len(answer.Status.Rows) > 0 {
			fmt.Fprintln(table, "from\t"+columns)
			last = columns
		}
		for _, row := range answer.Status.Rows {
			fmt.Fprintln(table, answer.Process+"\t"+strings.Join(row, "\t"))
		}
	}
	_ = table.Flush()
	for _, process := range silent {
		fmt.Fprintln(writer, process+"  SILENT (no answer in time)")
	}
	if last == "" && len(silent) == 0 {
		fmt.Fprintln(writer, "(nothing to show)")
	}
}

// JSON writes answers for tools: one object for each process.
func JSON(writer io.Writer, answers []Answer) error {
	type line struct {
		Process string              `json:"process"`
		Silent  bool                `json:"silent"`
		Rows    []map[string]string `json:"rows"`
	}
	lines := []line{}
	for _, answer := range answers {
		one := line{Process: answer.Process, Silent: answer.Silent, Rows: []map[string]string{}}
		for _, row := range answer.Status.Rows {
			cells := map[string]string{}
			for place, value := range row {
				if place < len(answer.Status.Columns) {
					cells[answer.Status.Columns[place]] = value
				}
			}
			one.Rows = append(one.Rows, cells)
		}
		lines = append(lines, one)
	}
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(lines)
}
