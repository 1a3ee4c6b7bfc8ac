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

// Sizes of the page's drawings.
const (
	width        = 24 * vg.Centimeter
	endsHeight   = 8 * vg.Centimeter
	beliefHeight = 6 * vg.Centimeter
	maxDot       = 9 // Radius of the dot of the most decisions within a second, in points.
	minDot       = 1
)

var endColors = map[string]color.Color{
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
<h1>{{.From.Format "2006-01-02 15:04:05"}} and {{len .Seconds}} s after</h1>
<p>{{range .Rows}}{{.Result}} {{.Requests}}, {{end}}by result of the request.</p>
{{.EndsPlot}}
{{.BeliefsPlot}}
<h2>Why requests were not served</h2>
<table><tr><th>result<th>requests<th>cause<th>example</tr>
{{range .Causes}}<tr><td>{{.Result}}<td class="n">{{.Requests}}<td>{{.Text}}<td><code>{{.Example}}</code></tr>
{{end}}</table>
<p><code>jasminecove explain -logs FILES ID</code> tells the story of one.</p>
`

var page = template.Must(template.New("page").Parse(pageText))

// WriteHTML writes the page, which needs no other file.
func (r *Report) WriteHTML(w io.Writer) error {
	ends, err := r.endsPlot()
	if err != nil {
		return fmt.Errorf("draw ends: %w", err)
	}
	beliefs, err := r.beliefsPlot()
	if err != nil {
		return fmt.Errorf("draw beliefs: %w", err)
	}
	var rows []Cause
	for _, end := range Results() {
		rows = append(rows, Cause{Result: end, Requests: r.Totals[end]})
	}
	return page.Execute(w, struct {
		*Report
		Rows                  []Cause
		EndsPlot, BeliefsPlot template.HTML
	}{r, rows, ends, beliefs})
}

// endsPlot draws the requests that ended in each second, stacked by end.
func (r *Report) endsPlot() (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "requests ended, a second", "s", "requests"
	p.Legend.Top, p.Legend.Left = true, true
	bar := width / vg.Length(len(r.Seconds)+1)
	var below *plotter.BarChart
	for _, end := range Results() {
		values := make(plotter.Values, len(r.Seconds))
		for i, s := range r.Seconds {
			values[i] = float64(s.Results[end])
		}
		bars, err := plotter.NewBarChart(values, bar)
		if err != nil {
			return "", err
		}
		bars.Color, bars.LineStyle.Width = endColors[end], 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(end, bars)
	}
	return svg(p, endsHeight)
}

// beliefsPlot draws a dot for the decisions of each kind within a second, the larger
// the more they were.
func (r *Report) beliefsPlot() (template.HTML, error) {
	if len(r.StateChanges) == 0 {
		return "", nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text = "what VMs learnt and decided", "s"
	p.X.Min, p.X.Max = 0, float64(len(r.Seconds))
	var dots plotter.XYs
	var counts []int
	most := 1
	for i, s := range r.Seconds {
		for row, name := range r.StateChanges {
			if n := s.StateChanges[name]; n > 0 {
				dots, counts, most = append(dots, plotter.XY{X: float64(i), Y: float64(row)}), append(counts, n), max(most, n)
			}
		}
	}
	scatter, err := plotter.NewScatter(dots)
	if err != nil {
		return "", err
	}
	scatter.GlyphStyleFunc = func(i int) draw.GlyphStyle {
		radius := minDot + (maxDot-minDot)*float64(counts[i])/float64(most)
		return draw.GlyphStyle{Color: color.Gray{Y: 90}, Radius: vg.Points(radius), Shape: draw.CircleGlyph{}}
	}
	p.Add(scatter)
	p.NominalY(r.StateChanges...)
	return svg(p, beliefHeight)
}

// svg returns a plot as an element of a page.
func svg(p *plot.Plot, height vg.Length) (template.HTML, error) {
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	// What stands before the element belongs to a file of its own.
	_, element, _ := bytes.Cut(out.Bytes(), []byte("<svg"))
	return template.HTML("<svg" + string(element)), nil //nolint:gosec // The library escapes text.
}
