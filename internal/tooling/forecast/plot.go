package forecast

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot writes a plot of the mean wait of each family over time, from the first simulation run. The
// extension of the file selects the format.
func (a *Report) Plot(path string) error {
	canvas := plot.New()
	canvas.Title.Text = "Forecast: mean wait by family"
	canvas.X.Label.Text, canvas.Y.Label.Text = "seconds from now", "wait, ms"
	var lines []any
	for _, capacity := range a.Families {
		var points plotter.XYs
		for second, wait := range capacity.meanWaitsMs {
			if wait >= 0 {
				points = append(points, plotter.XY{X: float64(second), Y: wait})
			}
		}
		if len(points) > 0 {
			lines = append(lines, capacity.Family, points)
		}
	}
	if err := plotutil.AddLinePoints(canvas, lines...); err != nil {
		return ErrRecord.Wrap(err, path)
	}
	return ErrRecord.Wrap(canvas.Save(20*vg.Centimeter, 10*vg.Centimeter, path), path)
}
