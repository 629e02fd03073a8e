package loadgen

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
)

// Caveat is the first line of every report.
const Caveat = "figures are from loopback and emulated workers: they can compare runs on this machine, but do not predict real workers or networks"

// Write prints the results and, if there are several, their ratios to the first one.
func Write(writer io.Writer, results []*Result) {
	fmt.Fprintln(writer, Caveat)
	for _, result := range results {
		writeResult(writer, result)
	}
	if len(results) > 1 {
		writeRatios(writer, results)
	}
}

func writeResult(writer io.Writer, result *Result) {
	fmt.Fprintf(writer, "\n%s: worth %.3f, served %d, took %.1f s, runs at workers %d\n", result.Label, result.Worth, result.Served(), result.Took, result.Runs)
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\tsent\tin time\tlate\tfailed\tworth\tp50 ms\tp90 ms\tp99 ms\tmax ms\t")
	for _, kind := range result.Kinds {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", kind.Name, kind.Sent, kind.InTime, kind.Late, kind.Failed, kind.Worth, kind.P50, kind.P90, kind.P99, kind.Max)
	}
	_ = table.Flush()
	writeCounts(writer, "failures", result.Causes)
	writeCounts(writer, "retried after", result.Retried)
	if result.GatewayStops > 0 {
		fmt.Fprintf(writer, "graceful stops of gateways: %d; attempts sent to gateways that were stopping: %d, after they ended accepting: %d, refused with a promise: %d\n",
			result.GatewayStops, result.Draining.Sent, result.Draining.Late, result.Draining.Refused)
	}
	if result.ConfigReads > 0 {
		fmt.Fprintf(writer, "configurations acknowledged: %d; reads answered: %d, without a response: %d\n", result.Generations, result.ConfigReads, result.FailedConfigReads)
	}
	if result.NotSent > 0 {
		fmt.Fprintf(writer, "not sent because too many requests were in flight: %d\n", result.NotSent)
	}
	for _, note := range result.Notes {
		fmt.Fprintln(writer, "note: "+note)
	}
	if result.Broken == 0 {
		fmt.Fprintln(writer, "checks: every response has its seal, its order and its one run; no rule was broken")
		return
	}
	fmt.Fprintf(writer, "checks: BROKEN %d\n", result.Broken)
	for _, finding := range result.Findings {
		fmt.Fprintln(writer, "  "+finding.String())
	}
	if more := result.Broken - len(result.Findings); more > 0 {
		fmt.Fprintf(writer, "  and %d more\n", more)
	}
}

// writeCounts prints counts by name, the largest first.
func writeCounts(writer io.Writer, title string, counts map[string]int) {
	if len(counts) == 0 {
		fmt.Fprintln(writer, title+": none")
		return
	}
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Slice(names, func(left, right int) bool {
		if counts[names[left]] != counts[names[right]] {
			return counts[names[left]] > counts[names[right]]
		}
		return names[left] < names[right]
	})
	fmt.Fprintln(writer, title+":")
	for _, name := range names {
		fmt.Fprintf(writer, "  %6d  %s\n", counts[name], name)
	}
}

// writeRatios prints the ratios of each fleet to the first one. Ratios within one run are valid even
// on a busy machine, where absolute times are not.
func writeRatios(writer io.Writer, results []*Result) {
	first := results[0]
	fmt.Fprintf(writer, "\nratios to %s\n", first.Label)
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "fleet\tkind\tworth\tp50\tp90\tp99\t")
	for _, result := range results[1:] {
		fmt.Fprintf(table, "%s\tall\t%s\t\t\t\t\n", result.Label, ratio(result.Worth, first.Worth))
		for _, kind := range result.Kinds {
			for _, base := range first.Kinds {
				if base.Name == kind.Name {
					fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t\n", result.Label, kind.Name, ratio(kind.Worth, base.Worth),
						ratio(kind.P50, base.P50), ratio(kind.P90, base.P90), ratio(kind.P99, base.P99))
				}
			}
		}
	}
	_ = table.Flush()
}

// ratio returns value/base as text, or "-" if base is 0.
func ratio(value, base float64) string {
	if base == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", value/base)
}
