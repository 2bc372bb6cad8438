package comparison

import (
	"io"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"oleandervane.example"
)

// ErrPlot is returned when a plot cannot be drawn or written.
var ErrPlot = eris.New("the plot cannot be drawn")

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WriteLoadPlot writes an SVG of the load of one service in every region over time. It fails with ErrPlot, wrapped.
func WriteLoadPlot(writer io.Writer, result *Result, serviceName oleandervane.ServiceName) error {
	drawing := plot.New()
	drawing.Title.Text = result.Case.Name + ", " + string(result.Strategy) + ", " + string(serviceName)
	drawing.X.Label.Text = "seconds"
	drawing.Y.Label.Text = "load (share of capacity)"
	drawing.Y.Min = 0
	deployment, err := NewDeployment(result.Case.Deployment)
	if err != nil {
		return eris.Wrapf(ErrPlot, "drawing %s: %v", result.Case.Name, err)
	}
	var lines []any
	for _, region := range deployment.Regions {
		points := make(plotter.XYs, 0, len(result.Series))
		for _, sample := range result.Series {
			load := sample.Load[oleandervane.Flow{Service: serviceName, Home: region}]
			points = append(points, plotter.XY{X: float64(sample.Second), Y: load})
		}
		lines = append(lines, string(region), points)
	}
	if err := plotutil.AddLines(drawing, lines...); err != nil {
		return eris.Wrapf(ErrPlot, "drawing %s: %v", result.Case.Name, err)
	}
	canvas, err := drawing.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return eris.Wrapf(ErrPlot, "drawing %s: %v", result.Case.Name, err)
	}
	if _, err := canvas.WriteTo(writer); err != nil {
		return eris.Wrapf(ErrPlot, "writing %s: %v", result.Case.Name, err)
	}
	return nil
}
