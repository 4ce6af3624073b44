package fbreport

import (
	"bytes"
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/filbertford/filbertford/fbload"
)

// Sizes of a plot and its bars.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 4 * vg.Millimeter
)

// drawPercentiles plots response over ideal by percentile. The X axis stretches
// the tail: the steps from 90 to 99 and from 99 to 99.9 have the same width.
func drawPercentiles(results []fbload.Result) ([]byte, error) {
	p := newPlot("Response over ideal by percentile", "percentile", "response / ideal")
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = ratioTicks{}
	p.X.Tick.Marker = plot.ConstantTicks(percentileTicks(50, 90, 99, 99.9))
	n := 0
	for _, r := range results {
		points := percentilePoints(r.OverIdeal())
		if len(points) == 0 {
			continue
		}
		if err := addLine(p, resultLabel(r), points, n); err != nil {
			return nil, err
		}
		n++
	}
	if c, ok := results[0].Clairvoyant(); ok && len(percentilePoints(c)) > 0 {
		if err := addLine(p, "clairvoyant", percentilePoints(c), n); err != nil {
			return nil, err
		}
		n++
	}
	if n == 0 {
		p.Y.Scale, p.Y.Tick.Marker = plot.LinearScale{}, plot.DefaultTicks{}
	}
	return renderSVG(p)
}

// percentilePoints returns the points of a summary that the logarithmic Y axis can
// show.
func percentilePoints(s fbload.Summary) plotter.XYs {
	var out plotter.XYs
	for _, point := range s.Points() {
		if point[1] > 0 {
			out = append(out, plotter.XY{X: percentilePosition(point[0]), Y: point[1]})
		}
	}
	return out
}

// percentilePosition returns the position of a percentile on the X axis: 1 for 90,
// 2 for 99, 3 for 99.9.
func percentilePosition(percentile float64) float64 { return -math.Log10(1 - percentile/100) }

func percentileTicks(percentiles ...float64) []plot.Tick {
	ticks := make([]plot.Tick, len(percentiles))
	for i, p := range percentiles {
		ticks[i] = plot.Tick{Value: percentilePosition(p), Label: strconv.FormatFloat(p, 'g', -1, 64)}
	}
	return ticks
}

// ratioTicks places ticks at 1, 1.5, 2, 3, 5 and 7 times the powers of 10.
type ratioTicks struct{}

// Ticks implements plot.Ticker.
func (ratioTicks) Ticks(low, high float64) []plot.Tick {
	var ticks []plot.Tick
	for decade := math.Pow(10, math.Floor(math.Log10(low))); decade <= high; decade *= 10 {
		for _, digit := range []float64{1, 1.5, 2, 3, 5, 7} {
			if v := digit * decade; v >= low && v <= high {
				ticks = append(ticks, plot.Tick{Value: v, Label: strconv.FormatFloat(v, 'g', 3, 64)})
			}
		}
	}
	return ticks
}

// drawMeanBySecond plots the mean response over ideal of the jobs of each second.
func drawMeanBySecond(results []fbload.Result) ([]byte, error) {
	p := newPlot("Mean response over ideal by second", "second", "response / ideal")
	p.Y.Min = 0
	for i, r := range results {
		var line plotter.XYs
		for second, ratio := range r.OverIdealBySecond() {
			if ratio > 0 {
				line = append(line, plotter.XY{X: float64(second), Y: ratio})
			}
		}
		if len(line) == 0 {
			continue
		}
		if err := addLine(p, resultLabel(r), line, i); err != nil {
			return nil, err
		}
	}
	return renderSVG(p)
}

// drawWastedMessages plots the wasted messages for 100 jobs by kind.
func drawWastedMessages(results []fbload.Result) ([]byte, error) {
	p := newPlot("Wasted messages by kind", "", "messages for 100 jobs")
	kinds := make(map[string]bool)
	for _, r := range results {
		for kind, n := range r.Wasted() {
			if n > 0 {
				kinds[kind] = true
			}
		}
	}
	names := slices.Sorted(maps.Keys(kinds))
	if len(names) == 0 {
		return renderSVG(p)
	}
	for i, r := range results {
		values := make(plotter.Values, len(names))
		for k, name := range names {
			values[k] = 100 * r.Wasted()[name] / float64(max(r.Jobs(), 1))
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, eris.Wrap(err, "draw bars")
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		bars.Offset = vg.Length(float64(i)-float64(len(results)-1)/2) * barWidth
		p.Add(bars)
		p.Legend.Add(resultLabel(r), bars)
	}
	p.NominalX(names...)
	return renderSVG(p)
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	return p
}

func addLine(p *plot.Plot, label string, points plotter.XYs, i int) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return eris.Wrapf(err, "draw the line of %s", label)
	}
	line.Color = plotutil.Color(i)
	line.Dashes = plotutil.Dashes(i)
	line.Width = vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(label, line)
	return nil
}

// renderSVG returns a plot as an svg element that can be embedded in an HTML page.
func renderSVG(p *plot.Plot) ([]byte, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return nil, eris.Wrap(err, "write a plot")
	}
	start := bytes.Index(out.Bytes(), []byte("<svg"))
	if start < 0 {
		return nil, eris.New("plot output has no svg element")
	}
	return out.Bytes()[start:], nil
}
