package fleetshell

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Table writes responses as text, with a table for each set of columns.
func Table(writer io.Writer, responses []Response) {
	var timedOut []string
	table := tabwriter.NewWriter(writer, 0, 4, 2, ' ', 0)
	last := ""
	for _, resp := range responses {
		if resp.TimedOut {
			timedOut = append(timedOut, resp.Process)
			continue
		}
		if columns := strings.Join(resp.Status.Columns, "\t"); columns != "" && columns != last && len(resp.Status.Rows) > 0 {
			fmt.Fprintln(table, "from\t"+columns)
			last = columns
		}
		for _, row := range resp.Status.Rows {
			fmt.Fprintln(table, resp.Process+"\t"+strings.Join(row, "\t"))
		}
	}
	_ = table.Flush()
	for _, process := range timedOut {
		fmt.Fprintln(writer, process+"  SILENT (no answer in time)")
	}
	if last == "" && len(timedOut) == 0 {
		fmt.Fprintln(writer, "(nothing to show)")
	}
}

// JSON writes responses as JSON, with one object for each process.
func JSON(writer io.Writer, responses []Response) error {
	type line struct {
		Process string              `json:"process"`
		Silent  bool                `json:"silent"`
		Rows    []map[string]string `json:"rows"`
	}
	lines := []line{}
	for _, resp := range responses {
		object := line{Process: resp.Process, Silent: resp.TimedOut, Rows: []map[string]string{}}
		for _, row := range resp.Status.Rows {
			cells := map[string]string{}
			for i, value := range row {
				if i < len(resp.Status.Columns) {
					cells[resp.Status.Columns[i]] = value
				}
			}
			object.Rows = append(object.Rows, cells)
		}
		lines = append(lines, object)
	}
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(lines)
}
