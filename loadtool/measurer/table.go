package measurer

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"sequoiaspread.example/sequoia/parser"
)

// table collects the figures of one deployment.
type table struct {
	doc        *parser.Document
	contenders []contender
	rows       []tableRow
}

// tableRow is one figure for each contender.
type tableRow struct {
	scenario string
	figure   string
	values   []float64
}

// figure computes one value from a result.
type figure struct {
	name  string
	value func(*result) float64
}

func newTable(doc *parser.Document, c []contender) *table {
	return &table{doc: doc, contenders: c}
}

func (t *table) add(scenario string, results []*result) {
	for _, f := range t.figures() {
		row := tableRow{scenario: scenario, figure: f.name}
		for _, r := range results {
			row.values = append(row.values, f.value(r))
		}
		t.rows = append(t.rows, row)
	}
}

func (t *table) figures() []figure {
	var all []figure
	for i, rank := range t.doc.Ranks {
		all = append(all, rankFigures(i, rank.Name)...)
	}
	return append(all,
		figure{"goodput / capacity", (*result).goodput},
		figure{"sent to another region", (*result).crossed},
		figure{"least served of the small organisations", (*result).leastServed},
	)
}

func rankFigures(i int, name string) []figure {
	quantile := func(q float64) func(*result) float64 {
		return func(r *result) float64 { return float64(r.ranks[i].first.ValueAtQuantile(q)) / 1000 }
	}
	return []figure{
		{name + " in target, of offered", func(r *result) float64 { return part(r.ranks[i].inTarget, r.ranks[i].offered) }},
		{name + " in target, of admitted", func(r *result) float64 { return part(r.ranks[i].inTarget, r.ranks[i].started) }},
		{name + " first token p50 ms", quantile(50)},
		{name + " first token p95 ms", quantile(95)},
		{name + " first token p99 ms", quantile(99)},
		{name + " work / guaranteed share", func(r *result) float64 { return r.guaranteed(i) }},
		{name + " refused", func(r *result) float64 { return part(r.ranks[i].refused, r.ranks[i].offered) }},
	}
}

func part(count, of int) float64 {
	return ratio(float64(count), float64(of))
}

func ratio(value, of float64) float64 {
	if of == 0 {
		return 0
	}
	return value / of
}

// capacity is the engine time of all runners in the steady part, as if none had failed.
func (r *result) capacity() time.Duration {
	return r.length() * time.Duration(len(r.world.runners))
}

// guaranteed is the work done in target over the guaranteed share, or over what was asked when that is less.
func (r *result) guaranteed(rank int) float64 {
	share := r.world.doc.Ranks[rank].GuaranteedShare * r.capacity().Seconds()
	return ratio(r.ranks[rank].worked.Seconds(), min(share, r.ranks[rank].asked.Seconds()))
}

func (r *result) goodput() float64 {
	var worked time.Duration
	for _, x := range r.ranks {
		worked += x.worked
	}
	return ratio(worked.Seconds(), r.capacity().Seconds())
}

func (r *result) crossed() float64 {
	crossed, started := 0, 0
	for _, x := range r.ranks {
		crossed += x.crossed
		started += x.started
	}
	return part(crossed, started)
}

// leastServed is the smallest part of its work that an organisation other than the first one got.
func (r *result) leastServed() float64 {
	least := 1.0
	for i := 1; i < len(r.served); i++ {
		least = min(least, ratio(r.served[i].Seconds(), r.asked[i].Seconds()))
	}
	return least
}

func (t *table) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(w, "%s\tfigure\t", t.doc.Environment.Name)
	for i, c := range t.contenders {
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

// print writes each baseline with the ratio of the first contender to it.
func (r tableRow) print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%.4g\t", r.scenario, r.figure, r.values[0])
	for _, v := range r.values[1:] {
		_, _ = fmt.Fprintf(w, "%.4g\t%s\t", v, formatRatio(r.values[0], v))
	}
	_, _ = fmt.Fprintln(w)
}

func formatRatio(value, of float64) string {
	if of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", value/of)
}
