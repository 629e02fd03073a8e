package hollowfleet

import (
	"math"
)

// Shape is how a figure grows with the size of the fleet.
type Shape string

// The shapes, the simplest first.
const (
	ShapeConstant    Shape = "constant"
	ShapeLogarithmic Shape = "logarithmic"
	ShapeLinear      Shape = "linear"
	ShapeQuadratic   Shape = "quadratic"
)

// shapes gives the term beside the constant one.
var shapes = []struct {
	shape Shape
	term  func(size float64) float64
}{
	{ShapeConstant, nil},
	{ShapeLogarithmic, math.Log2},
	{ShapeLinear, func(size float64) float64 { return size }},
	{ShapeQuadratic, func(size float64) float64 { return size * size }},
}

// Point is one figure at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is y = Base + Slope x term(size).
type Fit struct {
	Shape Shape   `json:"shape"`
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// Error is the root of the mean square that a point is off from the line which the
	// other points give, in parts of the mean value; Explained is R squared.
	Error     float64 `json:"error"`
	Explained float64 `json:"explained"`
}

// At gives the fit's value at a size.
func (f Fit) At(size float64) float64 {
	for _, entry := range shapes {
		if entry.shape == f.Shape && entry.term != nil {
			return f.Base + f.Slope*entry.term(size)
		}
	}
	return f.Base
}

// simpler is how much better a less simple shape must be to be taken.
const simpler = 0.8

// BestFit tries all shapes and takes the one that tells a left-out point best; a
// simpler one stays where the other is not clearly better. It needs three sizes.
func BestFit(points []Point) (best Fit, all []Fit) {
	for _, entry := range shapes {
		fit := leastSquares(points, entry.shape, entry.term)
		fit.Error = leftOut(points, entry.shape, entry.term)
		all = append(all, fit)
		if len(all) == 1 || fit.Error < simpler*best.Error {
			best = fit
		}
	}
	return best, all
}

// leastSquares fits one shape to the points.
func leastSquares(points []Point, shape Shape, term func(float64) float64) Fit {
	fit := Fit{Shape: shape}
	count, meanTerm, meanValue := float64(len(points)), 0.0, 0.0
	for _, point := range points {
		meanValue += point.Value / count
		if term != nil {
			meanTerm += term(point.Size) / count
		}
	}
	across, along := 0.0, 0.0
	if term != nil {
		for _, point := range points {
			across += (term(point.Size) - meanTerm) * (point.Value - meanValue)
			along += (term(point.Size) - meanTerm) * (term(point.Size) - meanTerm)
		}
	}
	if along > 0 {
		fit.Slope = across / along
	}
	fit.Base = meanValue - fit.Slope*meanTerm
	complete, rest := 0.0, 0.0
	for _, point := range points {
		complete += (point.Value - meanValue) * (point.Value - meanValue)
		rest += (point.Value - fit.At(point.Size)) * (point.Value - fit.At(point.Size))
	}
	if complete > 0 {
		fit.Explained = 1 - rest/complete
	}
	return fit
}

// leftOut is how far points are from the line that the others give.
func leftOut(points []Point, shape Shape, term func(float64) float64) float64 {
	off, mean := 0.0, 0.0
	for i, point := range points {
		others := append(append([]Point(nil), points[:i]...), points[i+1:]...)
		difference := leastSquares(others, shape, term).At(point.Size) - point.Value
		off += difference * difference / float64(len(points))
		mean += math.Abs(point.Value) / float64(len(points))
	}
	if mean == 0 {
		return 0
	}
	return math.Sqrt(off) / mean
}
