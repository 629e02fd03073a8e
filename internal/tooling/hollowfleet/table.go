package hollowfleet

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// Table writes the slopes of a series as rows of Markdown: the figure, its values by
// size, the shape that fits best with its error, and the value at the size to come,
// measured where a run was that large and fitted otherwise.
func (s *Series) Table(writer io.Writer, source string) {
	if len(s.Runs) == 0 {
		return
	}
	header, text := "| figure (unit) |", "|---|"
	for _, run := range s.Runs {
		header += fmt.Sprintf(" %d |", run.Plan.Nodes)
		text += "---|"
	}
	fmt.Fprintln(writer, header+" shape (error) | at 390 | run |")
	fmt.Fprintln(writer, text+"---|---|---|")
	for _, name := range sortedKeys(s.Slopes) {
		slope := s.Slopes[name]
		if flat(slope) {
			continue
		}
		row := fmt.Sprintf("| %s (%s) |", name, slope.Unit)
		at := fmt.Sprintf("%s fitted", Short(slope.AtPage))
		for _, point := range slope.Points {
			row += " " + Short(point.Value) + " |"
			if point.Size == PageNodes {
				at = Short(point.Value) + " measured"
			}
		}
		fmt.Fprintf(writer, "%s %s (%.0f%%) | %s | %s |\n", row, slope.Best.Shape, 100*slope.Best.Error, at, source)
	}
}

// flat tells whether a figure is nothing at all sizes.
func flat(slope Slope) bool {
	for _, point := range slope.Points {
		if point.Value != 0 {
			return false
		}
	}
	return true
}

// Short writes a figure with three digits that count.
func Short(value float64) string {
	size := math.Abs(value)
	switch {
	case size >= 1e6:
		return short(value/1e6, "M")
	case size >= 1e4:
		return short(value/1e3, "k")
	}
	return short(value, "")
}

func short(value float64, suffix string) string {
	if value == 0 {
		return "0"
	}
	digits := max(0, 2-int(math.Floor(math.Log10(math.Abs(value)))))
	text := fmt.Sprintf("%.*f", digits, value)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return text + suffix
}
