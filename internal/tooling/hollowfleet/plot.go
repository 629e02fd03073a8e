package hollowfleet

import (
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lemonarch/internal/platform/errs"
)

// ErrPlot is the error of a plot that can't be made.
var ErrPlot = errs.Define("plot")

// Chart is one picture: slopes by name, from one series or several.
type Chart struct {
	Title string
	// Budget, where above 0, is drawn as a line.
	Budget float64
	Lines  map[string]Slope
}

// Draw writes a chart as SVG into a folder, named after its title.
func (c Chart) Draw(folder string) error {
	picture := plot.New()
	picture.Title.Text = c.Title
	picture.X.Label.Text = "nodes"
	picture.X.Min, picture.Y.Min = 0, 0
	picture.Legend.Top, picture.Legend.Left = true, true
	i := 0
	for _, name := range sortedKeys(c.Lines) {
		slope := c.Lines[name]
		picture.Y.Label.Text = slope.Unit
		points := plotter.XYs{}
		for _, point := range slope.Points {
			points = append(points, plotter.XY{X: point.Size, Y: point.Value})
		}
		dots, err := plotter.NewScatter(points)
		if err != nil {
			return ErrPlot.Wrap(err, name)
		}
		dots.Color, dots.Shape = plotutil.Color(i), plotutil.Shape(i)
		text := plotter.NewFunction(slope.Best.At)
		text.Color, text.XMin, text.XMax = plotutil.Color(i), points[0].X, PageNodes
		picture.Add(dots, text)
		picture.Legend.Add(name+" ("+string(slope.Best.Shape)+")", dots)
		picture.X.Max, picture.Y.Max = PageNodes, max(picture.Y.Max, slope.Best.At(PageNodes))
		i++
	}
	if c.Budget > 0 {
		budget := plotter.NewFunction(func(float64) float64 { return c.Budget })
		budget.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		picture.Add(budget)
		picture.Legend.Add("budget", budget)
		picture.Y.Max = max(picture.Y.Max, c.Budget*1.1)
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return ErrPlot.Wrap(err, folder)
	}
	path := filepath.Join(folder, strings.ReplaceAll(strings.ToLower(c.Title), " ", "-")+".svg")
	return ErrPlot.Wrap(picture.Save(16*vg.Centimeter, 10*vg.Centimeter, path), path)
}

// Draw writes the charts of a series.
func (s *Series) Draw(folder, prefix string) error {
	for title, names := range map[string][]string{
		"bytes":     {"gateway bytes", "store bytes", "controller bytes"},
		"processor": {"gateway processor", "store processor", "controller processor"},
		"heap":      {"gateway heap", "store heap", "controller heap"},
	} {
		chart := Chart{Title: prefix + " " + title, Lines: map[string]Slope{}}
		for _, name := range names {
			if slope, known := s.Slopes[name]; known {
				chart.Lines[name] = slope
			}
		}
		if len(chart.Lines) == 0 {
			continue
		}
		chart.Budget = map[string]float64{"bytes": BudgetBytes, "processor": BudgetProcessorMs, "heap": BudgetHeapKB}[title]
		if err := chart.Draw(folder); err != nil {
			return err
		}
	}
	return nil
}
