package session

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

const percent = 100

// Print writes the metrics of a session as a table, followed by the booking counts and the checks.
func (r *Result) Print(out io.Writer, counts BookingCounts, checks []Check) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\trequests\tanswered\trefusals\tfailed\tfirst token p50\tp99\twhole p50\tp99\tother region\t")
	for _, row := range r.Rows() {
		first, total := row.FirstToken(), row.Total()
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%.1f%%\t\n",
			row.Name, row.Requests, row.Answered, row.Retries, row.Failed,
			round(first.Median), round(first.Tail), round(total.Median), round(total.Tail),
			percent*float64(row.Remote)/float64(max(1, row.Answered)))
	}
	_ = table.Flush()
	fmt.Fprintf(out, "bookings: %d keys, %d acknowledged, %d executed, %d unknown\n", counts.Keys, counts.Acknowledged, counts.Executed, counts.Unknown)
	for _, check := range checks {
		verdict := "ok  "
		if !check.Passed {
			verdict = "FAIL"
		}
		fmt.Fprintf(out, "%s %s (%s)\n", verdict, check.Name, check.Detail)
	}
}

func round(value time.Duration) time.Duration {
	return value.Round(100 * time.Microsecond)
}
