package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/user"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/promoter"
)

// submission holds the flags of the commands that submit a document.
type submission struct {
	operator     string
	requestID    string
	withoutTrial bool
}

type trialRequest struct {
	Document  string `json:"document"`
	Operator  string `json:"operator"`
	RequestID string `json:"request-id"`
}

type trialReply struct {
	Changes []parser.Change `json:"changes"`
}

type promotionRequest struct {
	Version      uint64 `json:"version"`
	Document     string `json:"document"`
	Operator     string `json:"operator"`
	RequestID    string `json:"request-id"`
	WithoutTrial bool   `json:"without-trial"`
}

func newTrialCommand(o *options) *cobra.Command {
	s := &submission{}
	command := &cobra.Command{
		Use:   "trial FILE",
		Short: "Check a document against the environment without enforcing it; promotion needs a trial first",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.submitTrial(cmd.Context(), cmd.OutOrStdout(), s, args[0])
		},
	}
	s.addFlags(command)
	return command
}

func newPromoteCommand(o *options) *cobra.Command {
	s := &submission{}
	command := &cobra.Command{
		Use:   "promote FILE",
		Short: "Put a document in force; its version must follow the one in force",
		Long: "Put a document in force; its version must follow the one in force.\n" +
			"When the outcome is unknown, run the command again with the same --request-id: it gets the outcome of the first.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.submitPromotion(cmd.Context(), cmd.OutOrStdout(), s, args[0])
		},
	}
	s.addFlags(command)
	command.Flags().BoolVar(&s.withoutTrial, "without-trial", false, "promote a document that had no trial")
	return command
}

func (s *submission) addFlags(command *cobra.Command) {
	command.Flags().StringVar(&s.operator, "operator", defaultOperator(), "name kept in the history")
	command.Flags().StringVar(&s.requestID, "request-id", "", "id of the request, the same for each resend (default: a new one)")
}

func defaultOperator() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

// prepare reads and validates the document, and generates a request id if none is given, before anything is sent.
func (s *submission) prepare(path string) (string, *parser.Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", nil, wrapError("read document", kindSettings, err)
	}
	doc, err := parser.Parse(path, text)
	if err != nil {
		return "", nil, err
	}
	if s.requestID == "" {
		s.requestID = uuid.NewString()
	}
	return string(text), doc, nil
}

func (o *options) submitTrial(ctx context.Context, out io.Writer, s *submission, path string) error {
	text, _, err := s.prepare(path)
	if err != nil {
		return err
	}
	c, err := o.newClient()
	if err != nil {
		return err
	}
	var reply trialReply
	request := trialRequest{Document: text, Operator: s.operator, RequestID: s.requestID}
	if err := c.post(ctx, "/v1/trials", request, &reply); err != nil {
		return s.withRequestID(err)
	}
	return o.writeOutput(out, reply, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "trial accepted; promotion would change:")
		printChanges(w, reply.Changes)
	})
}

func (o *options) submitPromotion(ctx context.Context, out io.Writer, s *submission, path string) error {
	text, doc, err := s.prepare(path)
	if err != nil {
		return err
	}
	c, err := o.newClient()
	if err != nil {
		return err
	}
	var outcome promoter.Outcome
	request := promotionRequest{
		Version: doc.Environment.Version, Document: text, Operator: s.operator,
		RequestID: s.requestID, WithoutTrial: s.withoutTrial,
	}
	if err := c.post(ctx, "/v1/promotions", request, &outcome); err != nil {
		return s.withRequestID(err)
	}
	return o.writeOutput(out, outcome, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "version %d accepted (request %s)\n", outcome.Version, s.requestID)
	})
}

// withRequestID adds the request id to an error, because a resend needs it.
func (s *submission) withRequestID(err error) error {
	return fmt.Errorf("request %s: %w", s.requestID, err)
}
