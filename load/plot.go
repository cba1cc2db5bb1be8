package load

import (
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/wcharczuk/go-chart/v2"
)

// Curve is a named timing summary that Plot draws as a group of bars.
type Curve struct {
	Name    string
	Summary Summary
}

const (
	plotWidth  = 900
	plotHeight = 420
)

// Plot writes an SVG bar chart of the median, P95 and P99 of each curve in milliseconds.
func Plot(out io.Writer, title string, curves []Curve) error {
	var bars []chart.Value
	for _, curve := range curves {
		for _, bar := range []struct {
			name string
			span time.Duration
		}{{"p50", curve.Summary.Median}, {"p95", curve.Summary.P95}, {"p99", curve.Summary.P99}} {
			bars = append(bars, chart.Value{
				Label: curve.Name + " " + bar.name,
				Value: float64(bar.span) / float64(time.Millisecond),
			})
		}
	}
	graph := chart.BarChart{
		Title:      title,
		Background: chart.Style{Padding: chart.Box{Top: 40}},
		Width:      plotWidth,
		Height:     plotHeight,
		BarWidth:   40,
		Bars:       bars,
		YAxis:      chart.YAxis{Name: "ms"},
	}
	return errors.Wrap(graph.Render(chart.SVG, out), "draw plot")
}
