// Command figures draws charts from measurements that tests write as JSON: what the balance settings of a
// service cost (package router), and who is served under load (package admitter).
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// width and height are the size of the chart.
const (
	width  = 18 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// point is a balance setting with its measured costs: the imbalance of the load, as maximum over mean,
// and the number of overrides per flow that have to be replicated.
type point struct {
	LoadPlacedShare  float64 `json:"free"`
	ExcessLoad       float64 `json:"excess"`
	Imbalance        float64 `json:"imbalance"`
	OverridesPerFlow float64 `json:"exceptions"`
}

func main() {
	charts := map[string]func(from, to string) error{"balance": drawBalance, "admission": drawAdmission}
	if len(os.Args) != 4 || charts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: figures balance|admission FROM.json TO.svg")
		os.Exit(2)
	}
	if err := charts[os.Args[1]](os.Args[2], os.Args[3]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// read decodes the measurements in a file.
func read[T any](from string) ([]T, error) {
	data, err := os.ReadFile(from)
	if err != nil {
		return nil, err
	}
	var out []T
	err = json.Unmarshal(data, &out)
	return out, err
}

func drawBalance(from, to string) error {
	points, err := read[point](from)
	if err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = "Cost of the balance settings (14 upstreams, 430 flows each, 15 owners)"
	p.X.Label.Text = "overrides per flow (each costs control bytes and packets that ask the owner)"
	p.Y.Label.Text = "imbalance (maximum over mean)"
	p.Legend.Top = true
	p.Y.Min = 1
	p.Y.Tick.Marker = plot.TickerFunc(axisTicks)
	for i, excess := range []float64{0.02, 0.1} {
		if err := addSeries(p, points, excess, i); err != nil {
			return err
		}
	}
	return p.Save(width, height, to)
}

// labelFor returns the label of a point, its load-placed share. Points with an excess above 0.02 get none,
// because there is no room for them.
func labelFor(q point) string {
	if q.ExcessLoad > 0.02 {
		return ""
	}
	return fmt.Sprintf(" free %v", q.LoadPlacedShare)
}

// tickStep is the distance between two ticks on the imbalance axis.
const tickStep = 0.02

func axisTicks(low, high float64) []plot.Tick {
	var out []plot.Tick
	for i := 0; low+float64(i)*tickStep <= high; i++ {
		v := low + float64(i)*tickStep
		out = append(out, plot.Tick{Value: v, Label: fmt.Sprintf("%.2f", v)})
	}
	return out
}

// addSeries draws the points with the given excess as one line, labelled with their load-placed shares.
func addSeries(p *plot.Plot, points []point, excess float64, style int) error {
	var at plotter.XYLabels
	for _, q := range points {
		if q.ExcessLoad == excess {
			at.XYs = append(at.XYs, plotter.XY{X: q.OverridesPerFlow, Y: q.Imbalance})
			at.Labels = append(at.Labels, labelFor(q))
		}
	}
	line, marks, err := plotter.NewLinePoints(at.XYs)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(style)
	marks.Color = plotutil.Color(style)
	marks.Shape = plotutil.Shape(style)
	labels, err := plotter.NewLabels(at)
	if err != nil {
		return err
	}
	p.Add(line, marks, labels)
	p.Legend.Add(fmt.Sprintf("excess %v", excess), line, marks)
	return nil
}

// writeCanvas writes a drawing to a file.
func writeCanvas(canvas io.WriterTo, to string) error {
	f, err := os.Create(to)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(f); err != nil {
		return errors.Join(err, f.Close())
	}
	return f.Close()
}
