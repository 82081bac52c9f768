package measurer

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Targets of the policy, from the brief and not from measured figures.
const (
	inTargetBound      = 0.95 // urgent first tokens within the target
	floodInTargetBound = 0.99 // of the urgent ones admitted in a flood of long reads
	shareBound         = 0.95 // of the guaranteed share of the rank that does not flood
	goodputBound       = 0.90 // of capacity in a flood
	crossedBound       = 0.5  // of what least outstanding requests sends to another region
)

// target compares one figure with its bound.
type target struct {
	scenario string
	text     string
	value    float64
	bound    float64
	atMost   bool
}

func (x target) met() bool {
	if x.atMost {
		return x.value <= x.bound
	}
	return x.value >= x.bound
}

// targets returns what applies to one scenario; other is the run of least outstanding requests, nil when not run.
func targets(scenario string, r, other *result) []target {
	urgent := &r.ranks[0]
	admitted := part(urgent.inTarget, urgent.started)
	switch scenario {
	case "flood-of-long-reads":
		return []target{
			{scenario, "urgent in target, of admitted", admitted, floodInTargetBound, false},
			{scenario, "urgent work / guaranteed share", r.guaranteed(0), shareBound, false},
			{scenario, "goodput / capacity", r.goodput(), goodputBound, false},
		}
	case "flood-of-chat":
		return []target{
			{scenario, "urgent in target, of admitted", admitted, inTargetBound, false},
			{scenario, "long read work / guaranteed share", r.guaranteed(1), shareBound, false},
			{scenario, "goodput / capacity", r.goodput(), goodputBound, false},
		}
	case "unequal-organisations":
		return []target{{scenario, "urgent in target, of admitted", admitted, inTargetBound, false}}
	}
	all := []target{{scenario, "urgent in target, of offered", part(urgent.inTarget, urgent.offered), inTargetBound, false}}
	if other == nil {
		return all
	}
	return append(all, comparisons(scenario, r, other)...)
}

func comparisons(scenario string, r, other *result) []target {
	all := []target{{scenario, "sent to another region / least outstanding", ratio(r.crossed(), other.crossed()), crossedBound, true}}
	for i, rank := range r.world.doc.Ranks {
		mine := float64(r.ranks[i].first.ValueAtQuantile(95))
		theirs := float64(other.ranks[i].first.ValueAtQuantile(95))
		all = append(all, target{scenario, rank.Name + " first token p95 / least outstanding", ratio(mine, theirs), 1, true})
	}
	return all
}

func printTargets(out io.Writer, all []target) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\ntarget\tfigure\tvalue\tbound\tresult")
	for _, x := range all {
		sign, verdict := ">=", "met"
		if x.atMost {
			sign = "<="
		}
		if !x.met() {
			verdict = "SHORT"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.4g\t%s %.4g\t%s\n", x.scenario, x.text, x.value, sign, x.bound, verdict)
	}
	_, _ = fmt.Fprintln(w)
	return w.Flush()
}
