package main

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// admissionPoint is what becomes of a load at a fleet of some size.
type admissionPoint struct {
	Balancers int     `json:"balancers"`
	Mode      string  `json:"mode"`
	Load      float64 `json:"load"`
	Goodput   float64 `json:"goodput"`
	// Served is the part of the requests that are answered in time, by importance.
	Served []float64 `json:"served"`
}

// series is a line of the admission charts.
type series struct {
	label, mode string
	balancers   int
}

var admissionSeries = []series{
	{"ideal", "ideal", 0},
	{"15 balancers", "admission", 15},
	{"100 balancers", "admission", 100},
	{"232 balancers", "admission", 232},
	{"100, no admission", "none", 100},
}

// drawAdmission draws the goodput and the part of the most important requests that are served, by load.
func drawAdmission(from, to string) error {
	points, err := read[admissionPoint](from)
	if err != nil {
		return err
	}
	goodput, err := admissionPlot("goodput (multiple of capacity)", points, func(p admissionPoint) float64 { return p.Goodput })
	if err != nil {
		return err
	}
	important, err := admissionPlot("important requests in time", points, func(p admissionPoint) float64 { return p.Served[0] })
	if err != nil {
		return err
	}
	canvas := vgsvg.New(width, 2*height)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Centimeter}
	aligned := plot.Align([][]*plot.Plot{{goodput}, {important}}, tiles, draw.New(canvas))
	goodput.Draw(aligned[0][0])
	important.Draw(aligned[1][0])
	return writeCanvas(canvas, to)
}

func admissionPlot(title string, points []admissionPoint, value func(admissionPoint) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "load (multiple of capacity)"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.TickerFunc(loadTicks)
	p.Y.Min, p.Y.Max = 0, 1.1
	p.Legend.Left = true
	for i, s := range admissionSeries {
		var line plotter.XYs
		for _, q := range points {
			if q.Mode == s.mode && q.Balancers == s.balancers {
				line = append(line, plotter.XY{X: q.Load, Y: value(q)})
			}
		}
		l, marks, err := plotter.NewLinePoints(line)
		if err != nil {
			return nil, err
		}
		l.Color, marks.Color = plotutil.Color(i), plotutil.Color(i)
		l.Dashes, marks.Shape = plotutil.Dashes(i), plotutil.Shape(i)
		p.Add(l, marks)
		p.Legend.Add(s.label, l, marks)
	}
	return p, nil
}

func loadTicks(_, _ float64) []plot.Tick {
	var out []plot.Tick
	for _, load := range []float64{0.5, 1, 1.5, 2, 4, 8} {
		out = append(out, plot.Tick{Value: load, Label: fmt.Sprint(load)})
	}
	return out
}
