// Package slopes measures how the costs of each role grow, for the page
// docs/CAPACITY.md. It runs the project's own daemon in small processes on
// loopback, beside stand-ins and simulated peers, takes at least four points of
// each cost and fits a straight line through them.
//
// It is a tool and no test: what it prints depends on the machine. Run it by
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

// Line is the straight line through points.
type Line struct {
	Offset, Slope float64
	// Residual is the root mean square of the points' distances from the
	// line, in the unit of Y.
	Residual float64
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Offset + l.Slope*x }

// Fit returns the line with the least squares.
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

// series is one cost against one size.
type series struct {
	name string
	// x and y name the axes with their units.
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
