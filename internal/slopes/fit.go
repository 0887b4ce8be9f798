// Package slopes measures how the resource usage of each role grows with the size
// of the system, for docs/CAPACITY.md. It runs the daemon on loopback together
// with stand-ins and simulated peers, measures at least four points of each cost
// and fits a straight line to them.
//
// It is a tool, not a test: its output depends on the machine. Run it with
// `go run ./internal/slopes/cmd`.
package slopes

import (
	"fmt"
	"io"
	"math"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct{ X, Y float64 }

// Line is a straight line fitted to points.
type Line struct {
	Offset, Slope float64
	// Residual is the root mean square of the points' vertical distances from
	// the line, in the unit of Y.
	Residual float64
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Offset + l.Slope*x }

// Fit returns the least-squares line.
func Fit(points []Point) Line {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.X, p.Y
	}
	var l Line
	l.Offset, l.Slope = stat.LinearRegression(xs, ys, nil, false)
	sum := 0.0
	for _, p := range points {
		d := p.Y - l.At(p.X)
		sum += d * d
	}
	l.Residual = math.Sqrt(sum / float64(len(points)))
	return l
}

// series holds the measurements of one cost as a function of one size.
type series struct {
	name string
	// x and y are the labels of the axes, with units.
	x, y   string
	points []Point
}

func (s *series) add(x, y float64) { s.points = append(s.points, Point{x, y}) }

// print writes the points, the line, and the line's value at each of sizes.
func (s *series) print(w io.Writer, sizes ...float64) {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %s against %s\n ", s.name, s.y, s.x)
	for _, p := range s.points {
		fmt.Fprintf(&text, " (%.4g: %.4g)", p.X, p.Y)
	}
	l := Fit(s.points)
	fmt.Fprintf(&text, "\n  slope %.4g, offset %.4g, residual %.2g", l.Slope, l.Offset, l.Residual)
	for _, x := range sizes {
		fmt.Fprintf(&text, "; at %g: %.4g", x, l.At(x))
	}
	text.WriteByte('\n')
	_, _ = io.WriteString(w, text.String())
}
