package burnpage

import (
	"bytes"
	"html/template"
	"image/color"
	"math"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"cicadaloom/internal/control/burn"
)

const (
	plotWidth       = 26 * vg.Centimeter
	plotHeight      = 7 * vg.Centimeter
	pointRadius     = 2.5
	fullPercent     = 100
	headroomPercent = 2
	// percentStep is the distance of two ticks of the vertical axis. minSpanPercent
	// is the minimum range of that axis: with less, a dip of one in a hundred would
	// look like an outage.
	percentStep      = 10
	minSpanPercent   = 20
	timeTickInterval = 10 * time.Minute
	// minLabelDistance is the minimum distance of a tick label from the right edge:
	// nearer, the edge cuts it.
	minLabelDistance = 2 * time.Minute
)

var (
	shareColour     = color.RGBA{R: 0x1f, G: 0x6f, B: 0xb4, A: 0xff}
	objectiveColour = color.RGBA{R: 0xc0, G: 0x39, B: 0x2b, A: 0xff}
)

// renderPlot draws the share of requests answered in time for each minute of the
// last hour, and the objective, as SVG. Without minutes it returns no plot.
func renderPlot(at time.Time, minutes []burn.TeamMinute) (template.HTML, error) {
	if len(minutes) == 0 {
		return "", nil
	}
	drawing := plot.New()
	drawing.Y.Label.Text = "in time, %"
	drawing.X.Label.Text = "UTC"
	drawing.Y.Max = fullPercent + headroomPercent
	points := make(plotter.XYs, 0, len(minutes))
	for i := range minutes {
		points = append(points, minutePoint(&minutes[i]))
	}
	if err := addShareLine(drawing, points); err != nil {
		return "", err
	}
	// Always show the whole hour, even if only its last minute had requests.
	drawing.X.Min = float64(at.Add(-burn.TimelineSpan).Unix())
	drawing.X.Max = float64(at.Unix())
	drawing.X.Tick.Marker = timeTicks(at)
	drawing.Y.Min = axisMinimum(points)
	drawing.Y.Tick.Marker = percentTicks(drawing.Y.Min)
	if err := addObjectiveLine(drawing); err != nil {
		return "", err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	drawing.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", errors.Wrap(err, "plot")
	}
	// The SVG contains no caller-supplied text, so it needs no escaping.
	return template.HTML(trimProlog(svg.Bytes())), nil
}

// axisMinimum returns the start of the vertical axis: a tick at or below every point.
func axisMinimum(points plotter.XYs) float64 {
	minimum := float64(fullPercent - minSpanPercent)
	for _, point := range points {
		minimum = min(minimum, percentStep*math.Floor(point.Y/percentStep))
	}
	return minimum
}

func percentTicks(from float64) plot.ConstantTicks {
	var ticks plot.ConstantTicks
	for share := from; share <= fullPercent; share += percentStep {
		ticks = append(ticks, plot.Tick{
			Value: share,
			Label: strconv.Itoa(int(share)),
		})
	}
	return ticks
}

func timeTicks(at time.Time) plot.ConstantTicks {
	var ticks plot.ConstantTicks
	first := at.Add(-burn.TimelineSpan).Truncate(timeTickInterval).Add(timeTickInterval)
	for mark := first; !mark.After(at); mark = mark.Add(timeTickInterval) {
		tick := plot.Tick{
			Value: float64(mark.Unix()),
		}
		if at.Sub(mark) >= minLabelDistance {
			tick.Label = mark.UTC().Format("15:04")
		}
		ticks = append(ticks, tick)
	}
	return ticks
}

func minutePoint(slice *burn.TeamMinute) plotter.XY {
	line := burn.Line{
		Counts: slice.Counts,
	}
	return plotter.XY{
		X: float64(slice.Start.Unix()),
		Y: fullPercent * line.InTimeShare(),
	}
}

func addShareLine(drawing *plot.Plot, points plotter.XYs) error {
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	line.Color = shareColour
	dots.Color = shareColour
	dots.Shape = draw.CircleGlyph{}
	dots.Radius = pointRadius
	drawing.Add(plotter.NewGrid(), line, dots)
	return nil
}

func addObjectiveLine(drawing *plot.Plot) error {
	objective, err := plotter.NewLine(plotter.XYs{
		{
			X: drawing.X.Min,
			Y: fullPercent * burn.Objective,
		},
		{
			X: drawing.X.Max,
			Y: fullPercent * burn.Objective,
		},
	})
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	objective.Color = objectiveColour
	objective.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	drawing.Add(objective)
	return nil
}

// trimProlog removes what precedes the svg element, which is not allowed inside an
// HTML page.
func trimProlog(svg []byte) []byte {
	if at := bytes.Index(svg, []byte("<svg")); at > 0 {
		return svg[at:]
	}
	return svg
}
