// Package page writes a burn report as a single HTML page that needs no other files.
package page

import (
	"bytes"
	"html/template"
	"io"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"oleandervane.example/operator/burn"
)

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font-family:sans-serif;margin:2em;max-width:60em}pre{white-space:pre-wrap}svg{max-width:100%;height:auto}</style></head>
<body><h1>Service-level burn</h1><pre>{{.Text}}</pre>
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}
{{end}}</body></html>
`))

type chart struct {
	Title string
	SVG   template.HTML
}

// Write writes the report with one chart of the burn rate by minute for each kind that had requests.
func Write(writer io.Writer, report burn.Report) error {
	var charts []chart
	for _, service := range report.Services {
		for _, kind := range service.Kinds {
			if len(kind.Minutes) == 0 {
				continue
			}
			svg, err := drawChart(kind)
			if err != nil {
				return eris.Wrapf(err, "plot burn of %s %s", kind.Service, kind.Kind)
			}
			charts = append(charts, chart{string(kind.Service) + " " + string(kind.Kind), svg})
		}
	}
	err := pageTemplate.Execute(writer, struct {
		Text  string
		Plots []chart
	}{report.String(), charts})
	return eris.Wrap(err, "write burn page")
}

// drawChart plots the burn rate by minute and, as a dashed line, the rate of 1 that uses up the budget exactly.
func drawChart(kind burn.KindReport) (template.HTML, error) {
	canvas := plot.New()
	canvas.Y.Label.Text = "burn rate"
	canvas.Y.Min = 0
	canvas.X.Tick.Marker = plot.TimeTicks{Format: "15:04"}
	var rates, budgetRates plotter.XYs
	for _, point := range kind.Minutes {
		at := float64(point.At.Unix())
		rates = append(rates, plotter.XY{X: at, Y: point.Rate})
		budgetRates = append(budgetRates, plotter.XY{X: at, Y: 1})
	}
	line, err := plotter.NewLine(rates)
	if err != nil {
		return "", err
	}
	budget, err := plotter.NewLine(budgetRates)
	if err != nil {
		return "", err
	}
	budget.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
	canvas.Add(plotter.NewGrid(), line, budget)
	output, err := canvas.WriterTo(18*vg.Centimeter, 6*vg.Centimeter, "svg")
	if err != nil {
		return "", err
	}
	var svg bytes.Buffer
	if _, err := output.WriteTo(&svg); err != nil {
		return "", err
	}
	// HTML does not allow the XML declaration and document type that precede the svg element.
	text := svg.String()
	// The text is safe to insert unescaped: the plot library generates it from numbers only.
	return template.HTML(text[max(0, strings.Index(text, "<svg")):]), nil
}
