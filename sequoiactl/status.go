package main

import (
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
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := o.newClient()
			if err != nil {
				return err
			}
			var status configserver.Status
			if err := c.get(cmd.Context(), "/v1/status", &status); err != nil {
				return err
			}
			return o.show(cmd.OutOrStdout(), status, func(w io.Writer) { printStatus(w, status) })
		},
	}
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

func printHistory(w io.Writer, history []promoter.Promotion) {
	_, _ = fmt.Fprintln(w, "VERSION\tOPERATOR\tISSUED\tDIGEST\tREQUEST")
	for _, p := range history {
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%.12s\t%s\n", p.Version, p.Operator, p.Issued.Format(time.RFC3339), p.Digest, p.RequestID)
	}
}
