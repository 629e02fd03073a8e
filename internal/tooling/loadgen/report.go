package loadgen

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
)

// Caveat stands above every report.
const Caveat = "figures of loopback and emulated workers: they compare runs on this machine, and tell nothing of real workers or networks"

// Write prints the results, side by side where there are several.
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
	for _, entry := range result.Kinds {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", entry.Name, entry.Sent, entry.InTime, entry.Late, entry.Failed, entry.Worth, entry.P50, entry.P90, entry.P99, entry.Max)
	}
	_ = table.Flush()
	writeCounts(writer, "failures", result.Causes)
	writeCounts(writer, "tried again after", result.Retried)
	if result.NotSent > 0 {
		fmt.Fprintf(writer, "not sent, since too many were under way: %d\n", result.NotSent)
	}
	for _, note := range result.Notes {
		fmt.Fprintln(writer, "note: "+note)
	}
	if result.Broken == 0 {
		fmt.Fprintln(writer, "checks: every answer has its stamp, its order and its one run; nothing broken")
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

// writeRatios compares each fleet with the first: ratios of one run hold where
// absolute times of a busy machine do not.
func writeRatios(writer io.Writer, results []*Result) {
	first := results[0]
	fmt.Fprintf(writer, "\nside by side, as ratios to %s\n", first.Label)
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "fleet\tkind\tworth\tp50\tp90\tp99\t")
	for _, result := range results[1:] {
		fmt.Fprintf(table, "%s\tall\t%s\t\t\t\t\n", result.Label, ratio(result.Worth, first.Worth))
		for _, entry := range result.Kinds {
			for _, base := range first.Kinds {
				if base.Name == entry.Name {
					fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t\n", result.Label, entry.Name, ratio(entry.Worth, base.Worth),
						ratio(entry.P50, base.P50), ratio(entry.P90, base.P90), ratio(entry.P99, base.P99))
				}
			}
		}
	}
	_ = table.Flush()
}

func ratio(value, base float64) string {
	if base == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", value/base)
}
