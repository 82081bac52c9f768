package main

import (
	"bytes"
	"encoding/base64"
	"html/template"
	"os"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"sequoiaspread.example/sequoia/reporter"
)

// Size of the plot in points, and the file mode of the page.
const (
	plotWidth  = vg.Length(500)
	plotHeight = vg.Length(200)
	pageMode   = 0o644
)

// plotSpan is the time range that the plot covers, up to the time of the report.
const plotSpan = time.Hour

var pageTemplate = template.Must(template.New("burn").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:right}td:first-child,th:first-child{text-align:left}</style>
</head><body><h1>Service-level burn</h1><p>At {{.Reply.At.Format "2006-01-02 15:04 MST"}}; history covers {{printf "%.1f" .Covered}}% of the last hour.</p>
<table><tr><th>Service and rank</th><th>Objective</th><th>5 min</th><th>1 h</th><th>6 h</th><th>3 days</th><th>Budget left</th></tr>
{{range .Reply.Lines}}<tr><td>{{.Service}}, {{.Rank}}</td><td>{{printf "%.3f" .Share}}</td>{{range .Burns}}<td>{{printf "%.2f" .Rate}}</td>{{end}}<td>{{printf "%.3f" .Remaining}}</td></tr>
{{end}}</table>
{{if .Reply.Missing}}<p>No answer from: {{range .Reply.Missing}}{{.}} {{end}}</p>{{end}}
<img alt="Share of requests that missed their targets, by minute" src="data:image/png;base64,{{.Plot}}"></body></html>
`))

type pageData struct {
	Reply   burnReply
	Covered float64
	Plot    string
}

// writePage writes the report as a self-contained HTML page.
func writePage(path string, reply burnReply, buckets []reporter.Bucket) error {
	image, err := plotBurn(reply.Report, buckets)
	if err != nil {
		return wrapError("draw plot", kindOutput, err)
	}
	var page bytes.Buffer
	data := pageData{Reply: reply, Covered: reply.Covered * 100, Plot: base64.StdEncoding.EncodeToString(image)}
	if err := pageTemplate.Execute(&page, data); err != nil {
		return wrapError("write page", kindOutput, err)
	}
	if err := os.WriteFile(path, page.Bytes(), pageMode); err != nil {
		return wrapError("write page", kindOutput, err)
	}
	return nil
}

func plotBurn(report reporter.Report, buckets []reporter.Bucket) ([]byte, error) {
	p := plot.New()
	p.Title.Text = "Requests that missed their targets"
	p.X.Label.Text = "minutes ago"
	p.Y.Label.Text = "share"
	p.X.Min = -plotSpan.Minutes()
	p.X.Max = 0
	p.Y.Min = 0
	p.Y.Max = 1
	p.Legend.Top = true
	var lines []any
	for _, line := range report.Lines {
		if points := missedShareByMinute(report.At, line.Key, buckets); len(points) > 0 {
			lines = append(lines, line.Service+", "+line.Rank, points)
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return nil, err
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return nil, err
	}
	var image bytes.Buffer
	_, err = writer.WriteTo(&image)
	return image.Bytes(), err
}

// missedShareByMinute returns the share of bad requests in each minute of the plot span, for all VMs together.
func missedShareByMinute(now time.Time, key reporter.Key, buckets []reporter.Bucket) plotter.XYs {
	type counts struct{ good, bad uint64 }
	byMinute := map[int]counts{}
	for _, bucket := range buckets {
		age := now.Sub(bucket.Start)
		if bucket.Key != key || age < 0 || age > plotSpan {
			continue
		}
		minute := int(age / time.Minute)
		total := byMinute[minute]
		byMinute[minute] = counts{good: total.good + bucket.Good, bad: total.bad + bucket.Bad}
	}
	var points plotter.XYs
	for minute := int(plotSpan / time.Minute); minute >= 0; minute-- {
		if total, ok := byMinute[minute]; ok && total.good+total.bad > 0 {
			points = append(points, plotter.XY{X: -float64(minute), Y: float64(total.bad) / float64(total.good+total.bad)})
		}
	}
	return points
}
