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

// ErrEmpty is returned for a plot without series.
var ErrEmpty = errors.New("plot has no series")

type (
	// Point is one data point.
	Point struct{ X, Y float64 }

	// Series is one named line of a chart.
	Series struct {
		Name   string
		Points []Point
	}

	// Plot is a line chart.
	Plot struct {
		// X and Y are the labels of the axes.
		Title, X, Y string
		// Categories label X = 0, 1, 2 and so on, for a nominal X axis.
		Categories []string
		Series     []Series
	}
)

// Write draws the plot to an SVG file.
func (p Plot) Write(file string) error {
	if len(p.Series) == 0 {
		return fmt.Errorf("draw %q: %w", p.Title, ErrEmpty)
	}
	chart := plot.New()
	chart.Title.Text, chart.X.Label.Text, chart.Y.Label.Text = p.Title, p.X, p.Y
	chart.Y.Min, chart.Legend.Top = 0, true
	chart.Add(plotter.NewGrid())
	for i, s := range p.Series {
		if err := addSeries(chart, i, s); err != nil {
			return fmt.Errorf("draw %q: %w", p.Title, err)
		}
	}
	if len(p.Categories) > 0 {
		chart.NominalX(p.Categories...)
	}
	return writeSVG(chart, file)
}

func addSeries(chart *plot.Plot, i int, s Series) error {
	points := make(plotter.XYs, len(s.Points))
	for j, point := range s.Points {
		points[j].X, points[j].Y = point.X, point.Y
	}
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return fmt.Errorf("series %q: %w", s.Name, err)
	}
	line.Color, marks.Color = plotutil.Color(i), plotutil.Color(i)
	line.Dashes, marks.Shape = plotutil.Dashes(i), plotutil.Shape(i)
	chart.Add(line, marks)
	chart.Legend.Add(s.Name, line, marks)
	return nil
}

func writeSVG(chart *plot.Plot, file string) error {
	canvas := vgsvg.New(width, height)
	chart.Draw(draw.New(canvas))
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
