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

// Sizes of the plot in points.
const (
	plotWidth  = vg.Length(500)
	plotHeight = vg.Length(200)
	pageMode   = 0o644
)

// plotSpan is the time that the plot shows.
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

// writePage writes the report as a page that needs no other file.
func writePage(path string, reply burnReply, buckets []reporter.Bucket) error {
	image, err := drawBurn(reply.Report, buckets)
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

func drawBurn(report reporter.Report, buckets []reporter.Bucket) ([]byte, error) {
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
		if points := missedShares(report.At, line.Key, buckets); len(points) > 0 {
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

// missedShares returns the share of bad requests by minute over the last hour, for all VMs together.
func missedShares(now time.Time, key reporter.Key, buckets []reporter.Bucket) plotter.XYs {
	type counts struct{ good, bad uint64 }
	byMinute := map[int]counts{}
	for _, bucket := range buckets {
		age := now.Sub(bucket.Start)
		if bucket.Key != key || age < 0 || age > plotSpan {
			continue
		}
		minute := int(age / time.Minute)
		sum := byMinute[minute]
		byMinute[minute] = counts{good: sum.good + bucket.Good, bad: sum.bad + bucket.Bad}
	}
	var points plotter.XYs
	for minute := int(plotSpan / time.Minute); minute >= 0; minute-- {
		if sum, ok := byMinute[minute]; ok && sum.good+sum.bad > 0 {
			points = append(points, plotter.XY{X: -float64(minute), Y: float64(sum.bad) / float64(sum.good+sum.bad)})
		}
	}
	return points
}
