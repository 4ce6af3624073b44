package fbreport

import (
	"image/color"
	"math"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"github.com/filbertford/filbertford/fbburn"
)

// Steps and ranges of the time axes.
const (
	burnPlotStep   = 5 * time.Minute
	shortPlotRange = 6 * time.Hour
	longPlotRange  = 72 * time.Hour
	halfDay        = 12 * time.Hour
)

// topMargin is the maximum of a Y axis divided by the highest value shown.
const topMargin = 1.05

// drawBurnRateByMinutes plots the burn rate of each five minutes of the last six
// hours.
func drawBurnRateByMinutes(services []fbburn.Service, now time.Time) ([]byte, error) {
	p := newTimePlot("Burn rate of the last 6 hours, by 5 minutes", "burn rate", now, shortPlotRange, burnPlotStep)
	for i, s := range services {
		burnRate := func(c fbburn.Counts) float64 { return c.BurnRate(s.Objective().Share()) }
		if err := addServiceSeries(p, s, i, s.Minutes(), burnPlotStep, burnRate); err != nil {
			return nil, err
		}
	}
	return drawWithThresholds(p)
}

// drawBurnRateByHours plots the burn rate of each hour of the last three days.
func drawBurnRateByHours(services []fbburn.Service, now time.Time) ([]byte, error) {
	p := newTimePlot("Burn rate of the last 3 days, by hour", "burn rate", now, longPlotRange, time.Hour)
	for i, s := range services {
		burnRate := func(c fbburn.Counts) float64 { return c.BurnRate(s.Objective().Share()) }
		if err := addServiceSeries(p, s, i, s.Hours(), time.Hour, burnRate); err != nil {
			return nil, err
		}
	}
	return drawWithThresholds(p)
}

// drawAnswerCounts plots the number of answers that count against the objective
// in each five minutes of the last six hours.
func drawAnswerCounts(services []fbburn.Service, now time.Time) ([]byte, error) {
	p := newTimePlot("Answers of the last 6 hours, by 5 minutes", "answers in 5 minutes", now, shortPlotRange, burnPlotStep)
	for i, s := range services {
		total := func(c fbburn.Counts) float64 { return float64(c.Total()) }
		if err := addServiceSeries(p, s, i, s.Minutes(), burnPlotStep, total); err != nil {
			return nil, err
		}
	}
	p.Y.Max = topMargin * math.Max(p.Y.Max, 1)
	return renderSVG(p)
}

// newTimePlot returns a plot whose X axis spans length, up to the end of the
// current step.
func newTimePlot(title, y string, now time.Time, length, step time.Duration) *plot.Plot {
	end := now.Truncate(step).Add(step)
	p := newPlot(title, "UTC", y)
	p.X.Min, p.X.Max = float64(end.Add(-length).Unix()), float64(end.Unix())
	p.X.Tick.Marker = timeTicks(end, length)
	p.Y.Min = 0
	p.Y.Tick.Marker = compactTicks{}
	return p
}

// compactTicks places the default ticks, with labels without trailing zeros.
type compactTicks struct{}

// Ticks implements plot.Ticker.
func (compactTicks) Ticks(low, high float64) []plot.Tick {
	ticks := plot.DefaultTicks{}.Ticks(low, high)
	for i, t := range ticks {
		if t.Label != "" {
			ticks[i].Label = strconv.FormatFloat(t.Value, 'g', 4, 64)
		}
	}
	return ticks
}

// timeTicks returns a tick at each whole hour, or at each half day if length is
// greater than shortPlotRange.
func timeTicks(end time.Time, length time.Duration) plot.ConstantTicks {
	step, layout := time.Hour, "15:04"
	if length > shortPlotRange {
		step, layout = halfDay, "Jan 2, 15:04"
	}
	var ticks plot.ConstantTicks
	for t := end.Add(-length).Truncate(step).Add(step); !t.After(end); t = t.Add(step) {
		ticks = append(ticks, plot.Tick{Value: float64(t.Unix()), Label: t.UTC().Format(layout)})
	}
	return ticks
}

// addServiceSeries adds a service's values to the plot, as a dot for each step
// that had answers. Lines join the dots of adjacent steps.
func addServiceSeries(p *plot.Plot, s fbburn.Service, i int, points []fbburn.Point, step time.Duration, value func(fbburn.Counts) float64) error {
	for _, segment := range stepSegments(points, step, value) {
		line, dots, err := plotter.NewLinePoints(segment)
		if err != nil {
			return eris.Wrapf(err, "draw the line of %s", s.Key())
		}
		line.Color, dots.Color = lineColor(i), lineColor(i)
		line.Width, dots.Radius = vg.Points(1.5), vg.Points(2)
		dots.Shape = draw.CircleGlyph{}
		p.Add(line, dots)
	}
	return nil
}

// stepSegments adds up the counts of each step and returns their values, placed at
// the middle of the steps. A step without answers ends a segment.
func stepSegments(points []fbburn.Point, step time.Duration, value func(fbburn.Counts) float64) []plotter.XYs {
	var segments []plotter.XYs
	var sum fbburn.Counts
	for i, point := range points {
		stepStart := point.Start().Truncate(step)
		sum = sum.Add(point.Counts())
		if i+1 < len(points) && points[i+1].Start().Truncate(step).Equal(stepStart) {
			continue
		}
		total := sum
		sum = fbburn.Counts{}
		if total.Total() == 0 {
			continue
		}
		xy := plotter.XY{X: float64(stepStart.Add(step / 2).Unix()), Y: value(total)}
		last := len(segments) - 1
		if last < 0 || xy.X-segments[last][len(segments[last])-1].X > step.Seconds() {
			segments = append(segments, nil)
			last++
		}
		segments[last] = append(segments[last], xy)
	}
	return segments
}

// lineColors are the colors of the services in a plot.
var lineColors = []color.RGBA{
	{R: 0xc0, G: 0x39, B: 0x2b, A: 0xff},
	{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	{R: 0x2c, G: 0x8c, B: 0x3c, A: 0xff},
	{R: 0xe0, G: 0x7b, B: 0x00, A: 0xff},
	{R: 0x7d, G: 0x4f, B: 0xb0, A: 0xff},
	{R: 0x6b, G: 0x4a, B: 0x3a, A: 0xff},
	{R: 0x00, G: 0x9a, B: 0xa6, A: 0xff},
	{R: 0x66, G: 0x66, B: 0x66, A: 0xff},
}

func lineColor(i int) color.RGBA { return lineColors[i%len(lineColors)] }

// drawWithThresholds draws a plot of burn rates, with lines at the thresholds that
// are within the range of its Y axis.
func drawWithThresholds(p *plot.Plot) ([]byte, error) {
	maxRate := math.Max(p.Y.Max, 2*fbburn.SustainableBurnRate)
	for _, rate := range []float64{fbburn.SustainableBurnRate, fbburn.SlowBurnRate, fbburn.FastBurnRate} {
		if rate > maxRate {
			continue
		}
		line, err := plotter.NewLine(plotter.XYs{{X: p.X.Min, Y: rate}, {X: p.X.Max, Y: rate}})
		if err != nil {
			return nil, eris.Wrap(err, "draw a threshold")
		}
		line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		line.Color = color.Gray{Y: 0x80}
		p.Add(line)
	}
	p.Y.Max = topMargin * maxRate
	return renderSVG(p)
}
