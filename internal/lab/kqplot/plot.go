package kqplot

import (
	"errors"
	"fmt"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	width  = 18 * vg.Centimeter
	height = 11 * vg.Centimeter
)

// ErrEmpty tells that there is nothing to draw.
var ErrEmpty = errors.New("nothing to draw")

type (
	// Point is one measured value.
	Point struct{ X, Y float64 }

	// Series is one line.
	Series struct {
		Name   string
		Points []Point
	}

	// Plot is a chart of some series.
	Plot struct {
		Title, X, Y string
		// Names stand at X = 0, 1, 2 and so on, where X is no quantity.
		Names  []string
		Series []Series
	}
)

// Write draws the plot into an SVG file.
func (p Plot) Write(file string) error {
	if len(p.Series) == 0 {
		return fmt.Errorf("draw %q: %w", p.Title, ErrEmpty)
	}
	drawn := plot.New()
	drawn.Title.Text, drawn.X.Label.Text, drawn.Y.Label.Text = p.Title, p.X, p.Y
	drawn.Y.Min, drawn.Legend.Top = 0, true
	drawn.Add(plotter.NewGrid())
	for i, s := range p.Series {
		if err := add(drawn, i, s); err != nil {
			return fmt.Errorf("draw %q: %w", p.Title, err)
		}
	}
	if len(p.Names) > 0 {
		drawn.NominalX(p.Names...)
	}
	return write(drawn, file)
}

func add(drawn *plot.Plot, i int, s Series) error {
	points := make(plotter.XYs, len(s.Points))
	for j, one := range s.Points {
		points[j].X, points[j].Y = one.X, one.Y
	}
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return fmt.Errorf("series %q: %w", s.Name, err)
	}
	line.Color, marks.Color = plotutil.Color(i), plotutil.Color(i)
	line.Dashes, marks.Shape = plotutil.Dashes(i), plotutil.Shape(i)
	drawn.Add(line, marks)
	drawn.Legend.Add(s.Name, line, marks)
	return nil
}

func write(drawn *plot.Plot, file string) error {
	canvas := vgsvg.New(width, height)
	drawn.Draw(draw.New(canvas))
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	_, err = canvas.WriteTo(f)
	if err := errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}
