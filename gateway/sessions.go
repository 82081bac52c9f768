package main

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"sequoiaspread.example/sequoia/classifier"
	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/recorder"
)

// sessionBody is the response to a request for a session. The keys of the session are its prefix, "." and a number from
// 1.
type sessionBody struct {
	Session string    `json:"session"`
	Expires time.Time `json:"expires"`
}

// outcomeBody is the known outcome of a key.
type outcomeBody struct {
	Key     string `json:"key"`
	Outcome string `json:"outcome"`
	// Status and Body are those of the recorded response if the call ran.
	Status int    `json:"status,omitempty"`
	Body   []byte `json:"body,omitempty"`
	// BodyOmitted is set if the response body was too large to record.
	BodyOmitted bool `json:"body-omitted,omitempty"`
}

// serveSession opens a session in the home availability zone of the caller's organisation.
func (g *gateway) serveSession(w http.ResponseWriter, r *http.Request) {
	req, err := g.openRequest(r)
	if err != nil {
		g.writeFailure(w, r, nil, err)
		return
	}
	reply, err := g.records.session(r.Context(), recorder.Session{Zone: req.organisation.HomeZone, Organisation: req.organisation.Name})
	switch {
	case err != nil:
		g.writeFailure(w, r, nil, newFailure("open session", classifier.CauseRecordsUnreachable, err))
	case reply.Outcome != recorder.OutcomeOpened:
		g.writeFailure(w, r, nil, newRefusal("open session", classifier.CauseRecordsUnreachable, reply.Hint))
	default:
		writeJSON(w, http.StatusCreated, sessionBody{Session: reply.Session, Expires: reply.Expires})
	}
}

// serveOutcome returns the known outcome of a key of the caller's organisation.
func (g *gateway) serveOutcome(w http.ResponseWriter, r *http.Request) {
	req, err := g.openRequest(r)
	if err != nil {
		g.writeFailure(w, r, nil, err)
		return
	}
	req.idempotencyKey = chi.URLParam(r, "key")
	reply, err := g.records.lookup(r.Context(), recorder.Lookup{Zone: req.homeZone(), Organisation: req.organisation.Name, Key: req.idempotencyKey})
	if err != nil {
		f := newFailure("look up key", classifier.CauseRecordsUnreachable, err)
		writeProblem(w, f, requestIDOf(r.Context()), classifier.KeyStatusUnchecked)
		return
	}
	writeJSON(w, http.StatusOK, outcomeFromReply(req.idempotencyKey, reply))
}

func outcomeFromReply(key string, reply recorder.Reply) outcomeBody {
	body := outcomeBody{Key: key, Outcome: string(reply.Outcome)}
	switch reply.Outcome {
	case recorder.OutcomeAbsent:
		body.Outcome = string(classifier.OutcomeNotRun)
	case recorder.OutcomeReplay:
		body.Outcome = string(classifier.OutcomeRan)
		body.Status = reply.Answer.Status
		body.Body = reply.Answer.Body
		body.BodyOmitted = reply.Answer.Omitted
	case recorder.OutcomePending, recorder.OutcomeExpired:
	default:
		body.Outcome = string(classifier.OutcomeUnknown)
	}
	return body
}

// modelList is a list of models in the OpenAI format.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels lists the models that are offered by services.
func (g *gateway) serveModels(w http.ResponseWriter, r *http.Request) {
	req, err := g.openRequest(r)
	if err != nil {
		g.writeFailure(w, r, nil, err)
		return
	}
	list := modelList{Object: "list", Data: modelItems(req.env.doc.Models)}
	writeJSON(w, http.StatusOK, list)
}

func modelItems(models []parser.Model) []modelItem {
	items := make([]modelItem, 0, len(models))
	for _, model := range models {
		items = append(items, modelItem{ID: model.Name, Object: "model", OwnedBy: "sequoiaspread"})
	}
	return items
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
