package process

import (
	"strconv"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// Report registers the function that responds to a status query of the shell. A report must only
// read state, and must be short. A later registration replaces an earlier one. Report must not be
// called after Start, since queries are served without a lock. A query without a report gets an empty
// response.
func (r *Runtime) Report(query string, report func() *messages.StatusResponse) {
	r.reports[query] = report
}

func (r *Runtime) handleStatus(req *messages.StatusRequest) (*messages.StatusResponse, error) {
	resp := &messages.StatusResponse{}
	if report := r.reports[req.Query]; report != nil {
		resp = report()
	}
	if req.Zone != "" {
		resp.Rows = filterByZone(resp, req.Zone)
	}
	if len(resp.Rows) > constants.StatusRows {
		// A bounded response costs a node little; the last row contains the number of omitted rows.
		omitted := len(resp.Rows) - constants.StatusRows
		resp.Rows = resp.Rows[:constants.StatusRows]
		summary := make([]string, len(resp.Columns))
		summary[0] = "(" + strconv.Itoa(omitted) + " more)"
		resp.Rows = append(resp.Rows, summary)
	}
	return resp, nil
}

// filterByZone returns the rows whose column "zone" equals zone, and none if there is no such column.
func filterByZone(status *messages.StatusResponse, zone string) [][]string {
	var matching [][]string
	for i, column := range status.Columns {
		if column != "zone" {
			continue
		}
		for _, row := range status.Rows {
			if i < len(row) && row[i] == zone {
				matching = append(matching, row)
			}
		}
	}
	return matching
}
