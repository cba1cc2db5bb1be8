package load

import (
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/wcharczuk/go-chart/v2"
)

// Series is a named summary of durations, which Plot draws as a group of bars.
type Series struct {
	Name    string
	Summary Summary
}

const (
	plotWidth  = 900
	plotHeight = 420
)

// Plot writes an SVG bar chart of the median, P95 and P99 of each series in milliseconds.
func Plot(out io.Writer, title string, series []Series) error {
	var bars []chart.Value
	for _, s := range series {
		for _, percentile := range []struct {
			name  string
			value time.Duration
		}{{"p50", s.Summary.Median}, {"p95", s.Summary.P95}, {"p99", s.Summary.P99}} {
			bars = append(bars, chart.Value{
				Label: s.Name + " " + percentile.name,
				Value: float64(percentile.value) / float64(time.Millisecond),
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
