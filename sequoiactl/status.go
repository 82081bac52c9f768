package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"sequoiaspread.example/sequoia/configserver"
	"sequoiaspread.example/sequoia/promoter"
)

func newStatusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the agreement, the record views and which version each process enforces",
		Long:  "Show the agreement, the record views and which version each process enforces. Each process polls the controllers of its own\navailability zone: name one of each with --controller.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := o.newClient()
			if err != nil {
				return err
			}
			status, err := c.status(cmd.Context())
			if err != nil {
				return err
			}
			return o.writeOutput(cmd.OutOrStdout(), status, func(w io.Writer) { printStatus(w, status) })
		},
	}
}

// status returns the status of the first controller that responds, with the merged pollers of all controllers, because
// each process polls only the controllers of its own availability zone.
func (c *client) status(ctx context.Context) (configserver.Status, error) {
	var merged configserver.Status
	var lastErr error
	pollers := map[string]configserver.Poller{}
	for _, address := range c.addresses {
		singleClient := &client{addresses: []string{address}, key: c.key, http: c.http}
		var status configserver.Status
		if err := singleClient.get(ctx, "/v1/status", &status); err != nil {
			lastErr = err
			continue
		}
		if merged.Member == "" {
			merged = status
		}
		for _, poller := range status.Pollers {
			if previous, ok := pollers[poller.VM]; !ok || poller.Age < previous.Age {
				pollers[poller.VM] = poller
			}
		}
	}
	if merged.Member == "" {
		return merged, lastErr
	}
	merged.Pollers = nil
	for _, vm := range sortedKeys(pollers) {
		merged.Pollers = append(merged.Pollers, pollers[vm])
	}
	return merged, nil
}

func printStatus(w io.Writer, s configserver.Status) {
	_, _ = fmt.Fprintf(w, "controller\t%s\t%s, leader %s, term %d\n", s.Member, s.Role, s.Leader, s.Term)
	_, _ = fmt.Fprintf(w, "version\t%d\n", s.Version)
	_, _ = fmt.Fprintf(w, "voters\t%s\n", strings.Join(s.Voters, ", "))
	_, _ = fmt.Fprintf(w, "learners\t%s\n", strings.Join(s.Learners, ", "))
	for _, view := range s.Views {
		_, _ = fmt.Fprintf(w, "records\t%s\tview %d, epoch %d, primary %s, members %s\n", view.Zone, view.Number, view.Epoch, view.Primary, strings.Join(view.Members, ", "))
	}
	for _, poller := range s.Pollers {
		_, _ = fmt.Fprintf(w, "process\t%s\tversion %d, seen %s ago\n", poller.VM, poller.Version, poller.Age.Truncate(time.Millisecond))
	}
}

func newHistoryCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the accepted versions with their operators and digests",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := o.newClient()
			if err != nil {
				return err
			}
			var history []promoter.Promotion
			if err := c.get(cmd.Context(), "/v1/history", &history); err != nil {
				return err
			}
			return o.writeOutput(cmd.OutOrStdout(), history, func(w io.Writer) { printHistory(w, history) })
		},
	}
}

// formatIssued returns the issue time of a promotion, or a dash for the first version: init runs separately on each
// controller, so they share no issue time.
func formatIssued(p promoter.Promotion) string {
	if p.Issued.IsZero() {
		return "-"
	}
	return p.Issued.Format(time.RFC3339)
}

func printHistory(w io.Writer, history []promoter.Promotion) {
	_, _ = fmt.Fprintln(w, "VERSION\tOPERATOR\tISSUED\tDIGEST\tREQUEST")
	for _, p := range history {
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%.12s\t%s\n", p.Version, p.Operator, formatIssued(p), p.Digest, p.RequestID)
	}
}
