package main

import (
	"image/color"
	"os"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"egretlane.example/egret/egretlab/soak"
)

// The size of the image.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 18 * vg.Centimeter
)

// plotColours are the line colours, which the variants get in order. They repeat if there are more variants.
var plotColours = []color.Color{
	color.RGBA{R: 31, G: 119, B: 180, A: 255},
	color.RGBA{R: 214, G: 39, B: 40, A: 255},
	color.RGBA{R: 44, G: 160, B: 44, A: 255},
	color.RGBA{R: 148, G: 103, B: 189, A: 255},
}

// plotOutcomes writes a PNG file that plots the share of served statements and their 99th percentile over time, with a
// line for each variant.
func plotOutcomes(outcomes []outcome, path string) error {
	served, err := newPlot(outcomes, "fraction of statements served", func(m soak.Interval) float64 {
		return float64(m.Served) / float64(max(1, m.Served+m.Failed))
	})
	if err != nil {
		return errors.Trace(err)
	}
	served.Y.Min, served.Y.Max = 0, 1
	high, err := newPlot(outcomes, "99th percentile, ms", func(m soak.Interval) float64 {
		return m.P99.Seconds() * 1000
	})
	if err != nil {
		return errors.Trace(err)
	}
	img := vgimg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{
		Rows: 2,
		Cols: 1,
		PadY: vg.Centimeter,
	}
	grid := [][]*plot.Plot{{served}, {high}}
	canvases := plot.Align(grid, tiles, draw.New(img))
	for i := range grid {
		grid[i][0].Draw(canvases[i][0])
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(f); err != nil {
		_ = f.Close()
		return errors.Trace(err)
	}
	return errors.Trace(f.Close())
}

// newPlot plots a value of each interval over time, with a line for each variant.
func newPlot(outcomes []outcome, title string, value func(m soak.Interval) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Legend.Top = true
	for i, o := range outcomes {
		points := plotter.XYs{}
		for _, m := range o.Report.Intervals {
			points = append(points, plotter.XY{
				X: m.At.Seconds(),
				Y: value(m),
			})
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return nil, errors.Trace(err)
		}
		l.Color = plotColours[i%len(plotColours)]
		p.Add(l)
		p.Legend.Add(o.Variant, l)
	}
	return p, nil
}
