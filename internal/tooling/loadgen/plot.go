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

// CheckPlot returns an error unless a plot can be written to a file of that name.
func CheckPlot(path string) error {
	switch filepath.Ext(path) {
	case ".svg", ".png", ".pdf":
		return nil
	}
	return ErrInvalidLoad.New("plot: file name " + path + " must end in .svg, .png or .pdf")
}

// latencyCurve returns the latency of a kind in ms by the share of slower requests: at x, one in x
// requests takes longer than y.
func (k *KindResult) latencyCurve() plotter.XYs {
	var points plotter.XYs
	for step := 1; step <= constants.LoadPlotSteps; step++ {
		slowerShare := math.Pow(2, -float64(step))
		if slowerShare*float64(k.times.TotalCount()) < 1 {
			// Fewer than one request is slower, so there is nothing more to draw.
			break
		}
		points = append(points, plotter.XY{X: 1 / slowerShare, Y: max(float64(k.times.ValueAtPercentile(100*(1-slowerShare)))/1000, 0.1)})
	}
	return points
}

// Plot writes a plot of the latency of every kind and fleet to a file. Both axes are logarithmic.
func Plot(path string, results []*Result) error {
	if err := CheckPlot(path); err != nil {
		return err
	}
	picture := plot.New()
	picture.Title.Text = "latency (loopback, emulated workers)"
	picture.X.Label.Text, picture.Y.Label.Text = "one in x requests takes longer", "ms"
	picture.X.Scale, picture.Y.Scale = plot.LogScale{}, plot.LogScale{}
	picture.X.Tick.Marker, picture.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	picture.Legend.Top = true
	lines := 0
	for fleet, result := range results {
		for i, kind := range result.Kinds {
			points := kind.latencyCurve()
			if len(points) < 2 {
				continue
			}
			line, err := plotter.NewLine(points)
			if err != nil {
				return ErrInvalidLoad.Wrap(err, "draw plot line")
			}
			// A kind has the same colour in all fleets and a fleet the same dashes for all kinds, so
			// that corresponding lines are easy to find.
			line.Color, line.Dashes, line.Width = plotutil.Color(i), plotutil.Dashes(fleet), vg.Points(1.5)
			picture.Add(line)
			picture.Legend.Add(fmt.Sprintf("%s %s", result.Label, kind.Name), line)
			lines++
		}
	}
	if lines == 0 {
		return ErrInvalidLoad.New("plot: too few requests were served")
	}
	// Widen the axis on the right, so that the legend does not cover a line.
	picture.X.Max *= constants.LoadLegendWidth
	return ErrInvalidLoad.Wrap(picture.Save(18*vg.Centimeter, 12*vg.Centimeter, path), "save plot")
}
