package measurer

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Thresholds that the requirements set for the coordinated policy.
const (
	inTargetThreshold        = 0.95 // fraction of urgent requests with a first token within the target
	floodInTargetThreshold   = 0.99 // the same, of those admitted in a flood of long reads
	guaranteedShareThreshold = 0.95 // fraction of the guaranteed share, for the rank that does not flood
	goodputThreshold         = 0.90 // fraction of the capacity, in a flood
	crossRegionThreshold     = 0.5  // ratio of requests sent to another region to those of the least-outstanding baseline
)

// target compares the value of one metric with its threshold.
type target struct {
	scenario  string
	metric    string
	value     float64
	threshold float64
	atMost    bool
}

func (t target) met() bool {
	if t.atMost {
		return t.value <= t.threshold
	}
	return t.value >= t.threshold
}

// targets returns the targets of a scenario; reference is the result of the least-outstanding baseline, or nil if that
// was not run.
func targets(scenario string, r, reference *result) []target {
	urgent := &r.ranks[0]
	admitted := fraction(urgent.inTarget, urgent.started)
	switch scenario {
	case "flood-of-long-reads":
		return []target{
			{scenario, "urgent in target, of admitted", admitted, floodInTargetThreshold, false},
			{scenario, "urgent work / guaranteed share", r.guaranteedRatio(0), guaranteedShareThreshold, false},
			{scenario, "goodput / capacity", r.goodputRatio(), goodputThreshold, false},
		}
	case "flood-of-chat":
		return []target{
			{scenario, "urgent in target, of admitted", admitted, inTargetThreshold, false},
			{scenario, "long read work / guaranteed share", r.guaranteedRatio(1), guaranteedShareThreshold, false},
			{scenario, "goodput / capacity", r.goodputRatio(), goodputThreshold, false},
		}
	case "unequal-organisations":
		return []target{{scenario, "urgent in target, of admitted", admitted, inTargetThreshold, false}}
	}
	list := []target{{scenario, "urgent in target, of offered", fraction(urgent.inTarget, urgent.offered), inTargetThreshold, false}}
	if reference == nil {
		return list
	}
	return append(list, comparisons(scenario, r, reference)...)
}

func comparisons(scenario string, r, reference *result) []target {
	list := []target{{scenario, "sent to another region / least outstanding", ratio(r.crossRegionRatio(), reference.crossRegionRatio()), crossRegionThreshold, true}}
	for i, rank := range r.sim.doc.Ranks {
		measuredP95 := float64(r.ranks[i].firstTokenLatency.ValueAtQuantile(95))
		referenceP95 := float64(reference.ranks[i].firstTokenLatency.ValueAtQuantile(95))
		list = append(list, target{scenario, rank.Name + " first token p95 / least outstanding", ratio(measuredP95, referenceP95), 1, true})
	}
	return list
}

func printTargets(out io.Writer, list []target) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\ntarget\tfigure\tvalue\tbound\tresult")
	for _, t := range list {
		sign, verdict := ">=", "met"
		if t.atMost {
			sign = "<="
		}
		if !t.met() {
			verdict = "SHORT"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.4g\t%s %.4g\t%s\n", t.scenario, t.metric, t.value, sign, t.threshold, verdict)
	}
	_, _ = fmt.Fprintln(w)
	return w.Flush()
}
