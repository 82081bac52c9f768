package measurer

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"sequoiaspread.example/sequoia/parser"
)

// table holds the metrics of one deployment.
type table struct {
	doc        *parser.Document
	candidates []candidate
	rows       []tableRow
}

// tableRow holds one metric for each candidate.
type tableRow struct {
	scenario string
	metric   string
	values   []float64
}

// metric is a value that is computed from a result.
type metric struct {
	name  string
	value func(*result) float64
}

func newTable(document *parser.Document, candidates []candidate) *table {
	return &table{doc: document, candidates: candidates}
}

func (t *table) add(scenario string, results []*result) {
	for _, f := range t.metrics() {
		row := tableRow{scenario: scenario, metric: f.name}
		for _, r := range results {
			row.values = append(row.values, f.value(r))
		}
		t.rows = append(t.rows, row)
	}
}

func (t *table) metrics() []metric {
	var all []metric
	for i, rank := range t.doc.Ranks {
		all = append(all, rankMetrics(i, rank.Name)...)
	}
	return append(all,
		metric{"goodput / capacity", (*result).goodputRatio},
		metric{"sent to another region", (*result).crossRegionRatio},
		metric{"least served of the small organisations", (*result).lowestServedRatio},
	)
}

func rankMetrics(i int, name string) []metric {
	quantile := func(q float64) func(*result) float64 {
		return func(r *result) float64 { return float64(r.ranks[i].firstTokenLatency.ValueAtQuantile(q)) / 1000 }
	}
	return []metric{
		{name + " in target, of offered", func(r *result) float64 { return fraction(r.ranks[i].inTarget, r.ranks[i].offered) }},
		{name + " in target, of admitted", func(r *result) float64 { return fraction(r.ranks[i].inTarget, r.ranks[i].started) }},
		{name + " first token p50 ms", quantile(50)},
		{name + " first token p95 ms", quantile(95)},
		{name + " first token p99 ms", quantile(99)},
		{name + " work / guaranteed share", func(r *result) float64 { return r.guaranteedRatio(i) }},
		{name + " refused", func(r *result) float64 { return fraction(r.ranks[i].refused, r.ranks[i].offered) }},
	}
}

func fraction(count, total int) float64 {
	return ratio(float64(count), float64(total))
}

func ratio(value, total float64) float64 {
	if total == 0 {
		return 0
	}
	return value / total
}

// capacity returns the engine time that all runners would provide in the measurement windows if none of them failed.
func (r *result) capacity() time.Duration {
	return r.measuredTime() * time.Duration(len(r.sim.runners))
}

// guaranteedRatio returns the work completed within the target as a fraction of the guaranteed share, or of the offered
// work if that is less.
func (r *result) guaranteedRatio(rank int) float64 {
	guaranteedWork := r.sim.doc.Ranks[rank].GuaranteedShare * r.capacity().Seconds()
	return ratio(r.ranks[rank].completedWork.Seconds(), min(guaranteedWork, r.ranks[rank].offeredWork.Seconds()))
}

func (r *result) goodputRatio() float64 {
	var completed time.Duration
	for _, rank := range r.ranks {
		completed += rank.completedWork
	}
	return ratio(completed.Seconds(), r.capacity().Seconds())
}

func (r *result) crossRegionRatio() float64 {
	crossRegion, started := 0, 0
	for _, rank := range r.ranks {
		crossRegion += rank.crossRegion
		started += rank.started
	}
	return fraction(crossRegion, started)
}

// lowestServedRatio returns the lowest fraction of offered work that was completed within the target, among all
// organisations except the first.
func (r *result) lowestServedRatio() float64 {
	lowest := 1.0
	for i := 1; i < len(r.completedWork); i++ {
		lowest = min(lowest, ratio(r.completedWork[i].Seconds(), r.offeredWork[i].Seconds()))
	}
	return lowest
}

func (t *table) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(w, "%s\tfigure\t", t.doc.Environment.Name)
	for i, c := range t.candidates {
		_, _ = fmt.Fprintf(w, "%s\t", c.name)
		if i > 0 {
			_, _ = fmt.Fprint(w, "ratio\t")
		}
	}
	_, _ = fmt.Fprintln(w)
	for _, row := range t.rows {
		row.print(w)
	}
	return w.Flush()
}

// print writes the values of a row; each baseline is followed by the ratio of the first candidate to it.
func (r tableRow) print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%.4g\t", r.scenario, r.metric, r.values[0])
	for _, v := range r.values[1:] {
		_, _ = fmt.Fprintf(w, "%.4g\t%s\t", v, formatRatio(r.values[0], v))
	}
	_, _ = fmt.Fprintln(w)
}

func formatRatio(value, total float64) string {
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", value/total)
}
