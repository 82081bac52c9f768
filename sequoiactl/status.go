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
			return o.show(cmd.OutOrStdout(), status, func(w io.Writer) { printStatus(w, status) })
		},
	}
}

// status returns the state of the first controller that answers, with the processes that any of them knows: each process
// polls the controllers of its own availability zone only.
func (c *client) status(ctx context.Context) (configserver.Status, error) {
	var merged configserver.Status
	var last error
	pollers := map[string]configserver.Poller{}
	for _, address := range c.addresses {
		single := &client{addresses: []string{address}, key: c.key, http: c.http}
		var one configserver.Status
		if err := single.get(ctx, "/v1/status", &one); err != nil {
			last = err
			continue
		}
		if merged.Member == "" {
			merged = one
		}
		for _, poller := range one.Pollers {
			if known, ok := pollers[poller.VM]; !ok || poller.Age < known.Age {
				pollers[poller.VM] = poller
			}
		}
	}
	if merged.Member == "" {
		return merged, last
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
			return o.show(cmd.OutOrStdout(), history, func(w io.Writer) { printHistory(w, history) })
		},
	}
}

// issuedAt leaves the time of the first version out, since init has none that all controllers agree on.
func issuedAt(p promoter.Promotion) string {
	if p.Issued.IsZero() {
		return "-"
	}
	return p.Issued.Format(time.RFC3339)
}

func printHistory(w io.Writer, history []promoter.Promotion) {
	_, _ = fmt.Fprintln(w, "VERSION\tOPERATOR\tISSUED\tDIGEST\tREQUEST")
	for _, p := range history {
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%.12s\t%s\n", p.Version, p.Operator, issuedAt(p), p.Digest, p.RequestID)
	}
}
