package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/reporter"
)

func newReportCommand(o *options) *cobra.Command {
	report := &cobra.Command{Use: "report", Short: "Reports"}
	report.AddCommand(newBurnCommand(o))
	return report
}

func newBurnCommand(o *options) *cobra.Command {
	htmlPath := ""
	command := &cobra.Command{
		Use:   "burn",
		Short: "Show how fast each service and rank uses up its error budget",
		Long: "Show how fast each service and rank uses up its error budget. The history of each availability zone is asked of its own\n" +
			"controllers: name one of each with --controller. Those that cannot be reached are listed as missing.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.reportBurn(cmd.Context(), cmd.OutOrStdout(), htmlPath)
		},
	}
	command.Flags().StringVar(&htmlPath, "html", "", "also write a page with plots to this file")
	return command
}

// burnReply is the burn report with the addresses of the controllers whose history is missing from it.
type burnReply struct {
	reporter.Report
	Missing []string `json:"missing"`
}

func (o *options) reportBurn(ctx context.Context, out io.Writer, htmlPath string) error {
	document, err := o.fetchDocument(ctx)
	if err != nil {
		return err
	}
	doc, err := parser.Parse("document in force", []byte(document.Document))
	if err != nil {
		return err
	}
	buckets, missing, err := o.fetchBuckets(ctx)
	if err != nil {
		return err
	}
	reply := burnReply{Report: reporter.NewReport(time.Now(), objectives(doc), buckets), Missing: missing}
	if htmlPath != "" {
		if err := writePage(htmlPath, reply, buckets); err != nil {
			return err
		}
	}
	return o.writeOutput(out, reply, func(w io.Writer) { printBurn(w, reply) })
}

// fetchBuckets queries every controller, because each holds only the history of its own availability zone. It also
// returns the addresses of the controllers that returned no history.
func (o *options) fetchBuckets(ctx context.Context) ([]reporter.Bucket, []string, error) {
	c, err := o.newClient()
	if err != nil {
		return nil, nil, err
	}
	var buckets []reporter.Bucket
	missing := []string{}
	for _, address := range o.controllers {
		singleClient := &client{addresses: []string{address}, key: c.key, http: c.http}
		var zoneBuckets []reporter.Bucket
		if err := singleClient.get(ctx, "/v1/burn", &zoneBuckets); err != nil {
			missing = append(missing, address)
			continue
		}
		buckets = append(buckets, zoneBuckets...)
	}
	if len(missing) == len(o.controllers) {
		return nil, nil, newError("fetch burn history", kindUnreachable, "no controller returned its history")
	}
	return buckets, missing, nil
}

func objectives(doc *parser.Document) []reporter.Objective {
	var list []reporter.Objective
	for _, service := range doc.Services {
		for _, rank := range doc.Ranks {
			key := reporter.Key{Service: service.Name, Rank: rank.Name}
			list = append(list, reporter.Objective{Key: key, Share: rank.Objective})
		}
	}
	return list
}

func printBurn(w io.Writer, reply burnReply) {
	_, _ = fmt.Fprintln(w, "SERVICE\tRANK\tOBJECTIVE\t5M\t1H\t6H\t3D\tBUDGET LEFT\tUSED UP IN")
	for _, line := range reply.Lines {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.1f%%", line.Service, line.Rank, line.Share*100)
		for _, burn := range line.Burns {
			_, _ = fmt.Fprintf(w, "\t%.2f", burn.Rate)
		}
		_, _ = fmt.Fprintf(w, "\t%.1f%%\t%s\n", line.Remaining*100, formatExhaustion(line))
	}
	_, _ = fmt.Fprintf(w, "history covers %.1f%% of the last hour\n", reply.Covered*100)
	for _, address := range reply.Missing {
		_, _ = fmt.Fprintf(w, "missing: controller %s did not answer\n", address)
	}
}

func formatExhaustion(line reporter.ObjectiveStatus) string {
	if line.Remaining <= 0 {
		return "used up"
	}
	if !line.Exhausts {
		return "not at this rate"
	}
	return line.ExhaustedIn.Truncate(time.Minute).String()
}

func sortedKeys[V any](values map[string]V) []string {
	return slices.Sorted(maps.Keys(values))
}
