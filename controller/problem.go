package main

import (
	"encoding/json"
	"errors"
	"net/http"

	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/promoter"
)

// Outcomes that a problem states.
const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
	problemPrefix  = "urn:sequoiaspread:problem:"
)

// problem is an RFC 9457 problem; Name becomes its type.
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

// writeFailure says what is known of a request that got no outcome.
func writeFailure(w http.ResponseWriter, err error) {
	var invalid *parser.Error
	if errors.As(err, &invalid) {
		writeProblem(w, problem{
			Name: "invalid-document", Status: http.StatusUnprocessableEntity, Detail: "the document has faults",
			Outcome: outcomeNotRun, Faults: invalid.Faults,
		})
		return
	}
	var failure *controllerError
	if errors.As(err, &failure) && (failure.kind == kindDocument || failure.kind == kindRefused) {
		writeProblem(w, problem{Name: string(failure.kind), Status: http.StatusUnprocessableEntity, Detail: err.Error(), Outcome: outcomeNotRun})
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
	// The caller is gone when this fails, and there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(body)
}
