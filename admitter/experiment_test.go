package admitter_test

import (
	"encoding/json"
	"flag"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var admissionFile = flag.String("admission", "", "measure admission under load and write the figures to this file")

// admissionPoint is what becomes of a load. Shares are of the requests of a kind, most important first. The JSON keys
// are read by the figures.
type admissionPoint struct {
	Balancers int `json:"balancers"`
	// Mode is "admission", "none" (every offer is admitted) or "ideal" (all is known, and nothing lost).
	Mode string `json:"mode"`
	// Load and Goodput are multiples of the capacity.
	Load    float64   `json:"load"`
	Goodput float64   `json:"goodput"`
	InTime  []float64 `json:"served"`
	Late    []float64 `json:"late"`
	Refused []float64 `json:"refused"`
	Failed  []float64 `json:"failed"`
	// Onset is the part of the important requests that were answered in time in the first second.
	Onset float64 `json:"onset"`
	// Refusal is the longest time in milliseconds until a Caller was refused for good.
	Refusal float64 `json:"refusal"`
}

// TestWriteAdmission measures fleets of several sizes under loads of up to eight times what the upstreams bear. It
// runs only with the flag -admission.
func TestWriteAdmission(t *testing.T) {
	if *admissionFile == "" {
		t.Skip("flag -admission is not set")
	}
	var points []admissionPoint
	for _, load := range []float64{0.5, 1, 1.5, 2, 4, 8} {
		points = append(points, idealPoint(load))
		for _, balancers := range []int{15, 100, 232} {
			points = append(points, measurePoint(balancers, load, false), measurePoint(balancers, load, true))
		}
	}
	data, err := json.MarshalIndent(points, "", "  ")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.WriteFile(*admissionFile, append(data, '\n'), 0o644), qt.IsNil)
}

// idealPoint serves the most important kinds first, up to the capacity.
func idealPoint(load float64) admissionPoint {
	p := admissionPoint{Mode: "ideal", Load: load, Goodput: min(load, 1), Onset: 1}
	total := 0.0
	for _, k := range kinds {
		total += k.share * k.work.Seconds()
	}
	left := 1.0
	for _, k := range kinds {
		asked := load * k.share * k.work.Seconds() / total
		served := min(left, asked)
		left -= served
		p.InTime = append(p.InTime, served/asked)
		p.Refused = append(p.Refused, 1-served/asked)
	}
	return p
}

func measurePoint(balancers int, load float64, open bool) admissionPoint {
	const d = 8 * time.Second
	f := warmUp(balancers)
	p := admissionPoint{Balancers: balancers, Mode: "admission", Load: load}
	if f.open = open; open {
		p.Mode = "none"
	}
	f.measure(load*f.capacity(), followTime)
	p.Onset = f.byKind[0].share()
	f.play(load*f.capacity(), followTime)
	f.measure(load*f.capacity(), d)
	p.Goodput, p.Refusal = f.goodput(d), f.slowestRefusal.Seconds()*1000
	for _, o := range f.byKind {
		asked := float64(o.asked)
		p.InTime = append(p.InTime, o.share())
		p.Late = append(p.Late, float64(o.late)/asked)
		p.Refused = append(p.Refused, float64(o.refused)/asked)
		p.Failed = append(p.Failed, float64(o.failed)/asked)
	}
	return p
}
