package loadgen

import (
	"fmt"
	"math"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"lemonarch/internal/platform/constants"
)

// CheckPlot tells whether a plot can be written under that name.
func CheckPlot(path string) error {
	switch filepath.Ext(path) {
	case ".svg", ".png", ".pdf":
		return nil
	}
	return ErrInvalidLoad.New("plot: " + path + " must end in .svg, .png or .pdf")
}

// line gives the latency of a kind by the share of the slowest: x is how many
// requests there are to each one that takes longer.
func (k *Kind) latencyCurve() plotter.XYs {
	var points plotter.XYs
	for step := 1; step <= constants.LoadPlotSteps; step++ {
		left := math.Pow(2, -float64(step))
		if left*float64(k.times.TotalCount()) < 1 {
			// Beyond the last request there is nothing to draw.
			break
		}
		points = append(points, plotter.XY{X: 1 / left, Y: max(float64(k.times.ValueAtPercentile(100*(1-left)))/1000, 0.1)})
	}
	return points
}

// Plot draws the latency of every kind and fleet; both axes are logarithmic.
func Plot(path string, results []*Result) error {
	if err := CheckPlot(path); err != nil {
		return err
	}
	picture := plot.New()
	picture.Title.Text = "latency (loopback, emulated workers)"
	picture.X.Label.Text, picture.Y.Label.Text = "one in so many takes longer", "ms"
	picture.X.Scale, picture.Y.Scale = plot.LogScale{}, plot.LogScale{}
	picture.X.Tick.Marker, picture.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	picture.Legend.Top = true
	chosen := 0
	for fleet, result := range results {
		for i, kind := range result.Kinds {
			points := kind.latencyCurve()
			if len(points) < 2 {
				continue
			}
			text, err := plotter.NewLine(points)
			if err != nil {
				return ErrInvalidLoad.Wrap(err, "plot")
			}
			// A kind keeps its colour, a fleet its dashes, so that pairs are found.
			text.Color, text.Dashes, text.Width = plotutil.Color(i), plotutil.Dashes(fleet), vg.Points(1.5)
			picture.Add(text)
			picture.Legend.Add(fmt.Sprintf("%s %s", result.Label, kind.Name), text)
			chosen++
		}
	}
	if chosen == 0 {
		return ErrInvalidLoad.New("plot: too little was served")
	}
	// Room on the right, so that the legend covers no line.
	picture.X.Max *= constants.LoadLegendWidth
	return ErrInvalidLoad.Wrap(picture.Save(18*vg.Centimeter, 12*vg.Centimeter, path), "plot")
}
