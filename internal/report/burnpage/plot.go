package burnpage

import (
	"bytes"
	"html/template"
	"image/color"
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
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
	pointSize  = 2.5
	fullShare  = 100
	headroom   = 2
)

var (
	shareColour     = color.RGBA{R: 0x1f, G: 0x6f, B: 0xb4, A: 0xff}
	objectiveColour = color.RGBA{R: 0xc0, G: 0x39, B: 0x2b, A: 0xff}
)

// plotOf draws the share answered in time, minute by minute, and the objective.
func plotOf(slices []burn.Slice) (template.HTML, error) {
	if len(slices) == 0 {
		return "", nil
	}
	drawing := plot.New()
	drawing.Y.Label.Text = "answered in time, %"
	drawing.X.Tick.Marker = plot.TimeTicks{
		Format: "15:04",
		Time:   plot.UTCUnixTime,
	}
	drawing.Y.Max = fullShare + headroom
	points := make(plotter.XYs, 0, len(slices))
	for i := range slices {
		points = append(points, pointOf(&slices[i]))
	}
	if err := addShare(drawing, points); err != nil {
		return "", err
	}
	drawing.X.Max = max(drawing.X.Max, drawing.X.Min+time.Minute.Seconds())
	if err := addObjective(drawing); err != nil {
		return "", err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	drawing.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", errors.Wrap(err, "plot")
	}
	// The plotting library makes this text from numbers alone.
	return template.HTML(withoutProlog(svg.Bytes())), nil
}

func pointOf(slice *burn.Slice) plotter.XY {
	line := burn.Line{
		Counts: slice.Counts,
	}
	return plotter.XY{
		X: float64(slice.Start.Unix()),
		Y: fullShare * line.Share(),
	}
}

func addShare(drawing *plot.Plot, points plotter.XYs) error {
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	line.Color = shareColour
	dots.Color = shareColour
	dots.Shape = draw.CircleGlyph{}
	dots.Radius = pointSize
	drawing.Add(plotter.NewGrid(), line, dots)
	return nil
}

func addObjective(drawing *plot.Plot) error {
	objective, err := plotter.NewLine(plotter.XYs{
		{
			X: drawing.X.Min,
			Y: fullShare * burn.Objective,
		},
		{
			X: drawing.X.Max,
			Y: fullShare * burn.Objective,
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

// withoutProlog leaves out what may not stand inside an HTML page.
func withoutProlog(svg []byte) []byte {
	if at := bytes.Index(svg, []byte("<svg")); at > 0 {
		return svg[at:]
	}
	return svg
}
