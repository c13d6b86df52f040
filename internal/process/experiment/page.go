package experiment

import (
	"bytes"
	"html/template"
	"io"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The sizes of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	// windowSeconds is the length of the windows in which the emulator counts requests.
	windowSeconds = 2
)

var page = template.Must(template.New("experiment").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Experiment</title><style>
body { font: 14px sans-serif; margin: 2em; max-width: 70em }
table { border-collapse: collapse } td, th { padding: 2px 10px; text-align: right; border-bottom: 1px solid #ddd }
td:first-child, th:first-child { text-align: left }
</style></head><body>
<h1>Comparison of placement policies</h1>
<p>Means over {{.Seeds}} seeds, the first being {{.First}}. Worth is the share of the requests' total worth that callers
obtained. The plots show it by the time at which the requests were sent.</p>
{{range .Sections}}<h2>{{.Pattern}}</h2>
<table><tr><th>policy</th><th>worth</th><th>least</th><th>most</th><th>worst windows</th><th>late</th><th>refused</th>
<th>failed</th><th>shed</th><th>with free slots elsewhere</th><th>busiest/mean</th></tr>
{{range .Rows}}<tr><td>{{.Policy}}</td><td>{{printf "%.4f" .Worth.Mean}}</td><td>{{printf "%.4f" .Worth.Least}}</td>
<td>{{printf "%.4f" .Worth.Most}}</td><td>{{printf "%.4f" .Windows.Mean}}</td><td>{{printf "%.1f" .Late}}</td>
<td>{{printf "%.1f" .Refused}}</td><td>{{printf "%.1f" .Failed}}</td><td>{{printf "%.1f" .Shed}}</td>
<td>{{printf "%.1f" .ShedWithRoom}}</td><td>{{printf "%.2f" .BusiestOverMean.Mean}}</td></tr>
{{end}}</table>
{{if .ShowsClasses}}<p>Best is the share of the worth that the slots could have earned if the classes with the most worth
per slot time were served first and no slot were free while a request waits.</p>
<table><tr><th>policy</th><th>admission</th><th>class</th><th>priority</th><th>worth</th><th>best</th><th>asked</th>
<th>in time</th><th>late</th><th>refused</th><th>failed</th><th>tries per answer</th><th>arrived at upstreams</th>
<th>rejected by upstreams</th><th>flows refused by hosts</th><th>flows over the limit</th></tr>
{{range $row := .Rows}}<tr><td>{{.Policy}}</td><td>{{if .Admission}}on{{else}}off{{end}}</td><td>all</td><td></td>
<td>{{printf "%.4f" .Worth.Mean}}</td><td>{{printf "%.4f" .Best}}</td><td>{{printf "%.0f" .Asked}}</td>
<td>{{printf "%.1f" .InTime}}</td><td>{{printf "%.1f" .Late}}</td><td>{{printf "%.1f" .Refused}}</td>
<td>{{printf "%.1f" .Failed}}</td><td></td><td>{{printf "%.1f" .Arrivals}}</td><td>{{printf "%.1f" .Shed}}</td>
<td>{{printf "%.1f" .RefusedFlows}}</td><td>{{printf "%.1f" .OverLimit}}</td></tr>
{{range .Classes}}<tr><td>{{$row.Policy}}</td><td>{{if $row.Admission}}on{{else}}off{{end}}</td><td>{{.Class}}</td>
<td>{{.Priority}}</td><td>{{printf "%.4f" .Worth.Mean}}</td><td></td><td>{{printf "%.0f" .Asked}}</td>
<td>{{printf "%.1f" .InTime}}</td><td>{{printf "%.1f" .Late}}</td><td>{{printf "%.1f" .Refused}}</td>
<td>{{printf "%.1f" .Failed}}</td><td>{{printf "%.3f" .TriesPerAnswer}}</td><td></td><td>{{printf "%.1f" .Rejected}}</td>
<td>{{printf "%.1f" .RefusedFlows}}</td><td>{{printf "%.1f" .OverLimit}}</td></tr>
{{end}}{{end}}</table>
{{end}}{{.Plot}}
{{end}}</body></html>
`))

// section is the part of a page about one pattern.
type section struct {
	Pattern string
	Rows    []Row
	// ShowsClasses says that the section has a table of classes.
	ShowsClasses bool
	Plot         template.HTML
}

// WritePage writes the report as an HTML page with a plot for each pattern. The page is
// self-contained: it loads no other files.
func (r *Report) WritePage(to io.Writer) error {
	data := struct {
		Seeds    int
		First    uint64
		Sections []section
	}{Seeds: r.Seeds, First: r.First}
	for _, rows := range r.byPattern() {
		svg, err := plotRows(rows)
		if err != nil {
			return err
		}
		// The SVG needs no escaping: plotRows makes it from numbers and names of policies.
		data.Sections = append(data.Sections, section{
			Pattern: rows[0].Pattern, Rows: rows, ShowsClasses: rows[0].ShowsClasses(), Plot: template.HTML(svg), //nolint:gosec
		})
	}
	return eris.Wrap(page.Execute(to, data), "experiment: page")
}

// byPattern returns the rows grouped by pattern, in their order.
func (r *Report) byPattern() [][]Row {
	var out [][]Row
	for _, row := range r.Rows {
		if n := len(out); n > 0 && out[n-1][0].Pattern == row.Pattern {
			out[n-1] = append(out[n-1], row)
			continue
		}
		out = append(out, []Row{row})
	}
	return out
}

// plotRows returns an SVG plot of the worth of each window, with one line per policy, and one for
// the best worth if the rows show classes.
func plotRows(rows []Row) (string, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", "worth"
	p.Y.Max = 1
	p.Legend.Top = false
	p.Add(plotter.NewGrid())
	for i := range rows {
		if err := addLine(p, i, rows[i].Policy, rows[i].ByWindow); err != nil {
			return "", err
		}
	}
	if rows[0].ShowsClasses() {
		if err := addLine(p, len(rows), "Best", rows[0].BestByWindow); err != nil {
			return "", err
		}
	}
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", eris.Wrap(err, "experiment: plot")
	}
	return withoutProlog(b.String()), nil
}

// addLine adds the nth line to a plot.
func addLine(p *plot.Plot, n int, name string, worth []float64) error {
	line, err := plotter.NewLine(points(worth))
	if err != nil {
		return eris.Wrapf(err, "experiment: plot of %s", name)
	}
	line.Color, line.Dashes = plotutil.Color(n), plotutil.Dashes(n)
	line.Width = vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

func points(worth []float64) plotter.XYs {
	out := make(plotter.XYs, 0, len(worth))
	for i, w := range worth {
		out = append(out, plotter.XY{X: float64(i * windowSeconds), Y: w})
	}
	return out
}

// withoutProlog removes everything before the svg element, such as the XML declaration, which isn't
// allowed inside an HTML page.
func withoutProlog(svg string) string {
	if i := strings.Index(svg, "<svg"); i > 0 {
		return svg[i:]
	}
	return svg
}
