package logreport

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Sizes of the plots. A dot's radius grows with the number of decisions within a second.
const (
	width              = 24 * vg.Centimeter
	resultsHeight      = 8 * vg.Centimeter
	stateHeight        = 6 * vg.Centimeter
	maxDotRadiusPoints = 9
	minDotRadiusPoints = 1
)

var resultColors = map[string]color.Color{
	Served:     color.RGBA{R: 70, G: 140, B: 90, A: 255},
	Late:       color.RGBA{R: 225, G: 180, B: 60, A: 255},
	Refused:    color.RGBA{R: 90, G: 120, B: 190, A: 255},
	Failed:     color.RGBA{R: 190, G: 60, B: 60, A: 255},
	CallerLeft: color.RGBA{R: 150, G: 150, B: 150, A: 255},
}

const pageText = `<!doctype html>
<meta charset="utf-8">
<title>jasminecove, {{.From.Format "2006-01-02 15:04:05"}}</title>
<style>body{font-family:sans-serif;margin:2em} td,th{text-align:left;padding:.2em 1em .2em 0} td.n{text-align:right}</style>
<h1>{{.From.Format "2006-01-02 15:04:05"}}, {{len .Seconds}} s</h1>
<p>{{range .Rows}}{{.Result}} {{.Requests}}, {{end}}counted by result.</p>
{{.ResultsPlot}}
{{.StateChangesPlot}}
<h2>Why requests were not served</h2>
<table><tr><th>result<th>requests<th>cause<th>example</tr>
{{range .Causes}}<tr><td>{{.Result}}<td class="n">{{.Requests}}<td>{{.Text}}<td><code>{{.Example}}</code></tr>
{{end}}</table>
<p><code>jasminecove explain -logs FILES ID</code> shows the history of one request.</p>
`

var page = template.Must(template.New("page").Parse(pageText))

// WriteHTML writes the report as one self-contained HTML page.
func (r *Report) WriteHTML(w io.Writer) error {
	resultsPlot, err := r.resultsPlot()
	if err != nil {
		return fmt.Errorf("draw results of requests: %w", err)
	}
	statePlot, err := r.stateChangesPlot()
	if err != nil {
		return fmt.Errorf("draw state changes: %w", err)
	}
	var rows []Cause
	for _, result := range Results() {
		rows = append(rows, Cause{Result: result, Requests: r.Totals[result]})
	}
	return page.Execute(w, struct {
		*Report
		Rows                          []Cause
		ResultsPlot, StateChangesPlot template.HTML
	}{r, rows, resultsPlot, statePlot})
}

// resultsPlot draws the requests that ended in each second, stacked by result.
func (r *Report) resultsPlot() (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "requests ended per second", "s", "requests"
	p.Legend.Top, p.Legend.Left = true, true
	barWidth := width / vg.Length(len(r.Seconds)+1)
	var below *plotter.BarChart
	for _, result := range Results() {
		values := make(plotter.Values, len(r.Seconds))
		for i, s := range r.Seconds {
			values[i] = float64(s.Results[result])
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return "", err
		}
		bars.Color, bars.LineStyle.Width = resultColors[result], 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(result, bars)
	}
	return svg(p, resultsHeight)
}

// stateChangesPlot draws a row of dots for each decision that changes a VM's view of the fleet.
// The size of a dot shows how often the decision was taken in that second.
func (r *Report) stateChangesPlot() (template.HTML, error) {
	if len(r.StateChanges) == 0 {
		return "", nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text = "state changes on VMs", "s"
	p.X.Min, p.X.Max = 0, float64(len(r.Seconds))
	var dots plotter.XYs
	var counts []int
	maxCount := 1
	for i, s := range r.Seconds {
		for row, name := range r.StateChanges {
			if n := s.StateChanges[name]; n > 0 {
				dots, counts, maxCount = append(dots, plotter.XY{X: float64(i), Y: float64(row)}), append(counts, n), max(maxCount, n)
			}
		}
	}
	scatter, err := plotter.NewScatter(dots)
	if err != nil {
		return "", err
	}
	scatter.GlyphStyleFunc = func(i int) draw.GlyphStyle {
		radius := minDotRadiusPoints + (maxDotRadiusPoints-minDotRadiusPoints)*float64(counts[i])/float64(maxCount)
		return draw.GlyphStyle{Color: color.Gray{Y: 90}, Radius: vg.Points(radius), Shape: draw.CircleGlyph{}}
	}
	p.Add(scatter)
	p.NominalY(r.StateChanges...)
	return svg(p, stateHeight)
}

// svg renders a plot as an <svg> element.
func svg(p *plot.Plot, height vg.Length) (template.HTML, error) {
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	// The XML prologue before the element is only valid in a separate file.
	_, element, _ := bytes.Cut(out.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(element)), nil //nolint:gosec // The plot library escapes text.
}
