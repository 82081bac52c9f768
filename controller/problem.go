package main

import (
	"encoding/json"
	"errors"
	"net/http"

	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/promoter"
)

// Values of the outcome member, and the prefix of problem types.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
	problemPrefix  = "urn:sequoiaspread:problem:"
)

// problem is an RFC 9457 problem; its type is built from Name.
type problem struct {
	Name    string              `json:"-"`
	Type    string              `json:"type"`
	Title   string              `json:"title"`
	Status  int                 `json:"status"`
	Detail  string              `json:"detail,omitempty"`
	Outcome string              `json:"outcome"`
	Faults  []parser.Fault      `json:"faults,omitempty"`
	Version uint64              `json:"version,omitempty"`
	Winner  *promoter.Promotion `json:"winner,omitempty"`
}

func writeProblem(w http.ResponseWriter, p problem) {
	p.Type = problemPrefix + p.Name
	p.Title = http.StatusText(p.Status)
	w.Header().Set("Content-Type", "application/problem+json")
	writeBody(w, p.Status, p)
}

// writeError writes the problem for a request that failed without an outcome from the consensus group.
func writeError(w http.ResponseWriter, err error) {
	var invalid *parser.Error
	if errors.As(err, &invalid) {
		writeProblem(w, problem{
			Name: "invalid-document", Status: http.StatusUnprocessableEntity, Detail: "the document has faults",
			Outcome: outcomeNotRun, Faults: invalid.Faults,
		})
		return
	}
	var controllerErr *controllerError
	if errors.As(err, &controllerErr) && (controllerErr.kind == kindDocument || controllerErr.kind == kindRefused) {
		writeProblem(w, problem{Name: string(controllerErr.kind), Status: http.StatusUnprocessableEntity, Detail: err.Error(), Outcome: outcomeNotRun})
		return
	}
	writeProblem(w, problem{
		Name: "undecided", Status: http.StatusServiceUnavailable, Outcome: outcomeUnknown,
		Detail: "no outcome is known yet: resend with the same request-id; " + err.Error(),
	})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	writeBody(w, http.StatusOK, body)
}

func writeBody(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	// Encoding fails only when the caller has disconnected, so there is nobody to report the error to.
	_ = json.NewEncoder(w).Encode(body)
}
