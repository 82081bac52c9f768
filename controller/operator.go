package main

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"sequoiaspread.example/sequoia/configserver"
	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/promoter"
)

const (
	// maxOperatorBody is the largest request body in bytes; it exceeds the largest document encoded as JSON.
	maxOperatorBody      = 9 << 20
	operatorReadTimeout  = 15 * time.Second
	operatorWriteTimeout = 30 * time.Second
	minOperatorKeyLength = 16
	// maxIdentifierLength limits operator names and request ids, because the replicated state stores them.
	maxIdentifierLength = 128
)

// operatorAPI serves the HTTP interface for operators.
type operatorAPI struct {
	node *node
	// keyDigest is the SHA-256 of the bearer key. Digests have equal lengths, so the comparison does not reveal the
	// length of the key.
	keyDigest [sha256.Size]byte
}

type trialBody struct {
	Document  string `json:"document"`
	Operator  string `json:"operator"`
	RequestID string `json:"request-id"`
}

type promotionBody struct {
	Version      uint64 `json:"version"`
	Document     string `json:"document"`
	Operator     string `json:"operator"`
	RequestID    string `json:"request-id"`
	WithoutTrial bool   `json:"without-trial"`
}

type trialReply struct {
	Changes []parser.Change `json:"changes"`
}

type documentReply struct {
	Version  uint64 `json:"version"`
	Document string `json:"document"`
}

func readOperatorKey(path string) ([sha256.Size]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return [sha256.Size]byte{}, wrapError("read operator key", kindSettings, err)
	}
	key := strings.TrimSpace(string(text))
	if len(key) < minOperatorKeyLength {
		return [sha256.Size]byte{}, newError("read operator key", kindSettings, "the key is shorter than 16 characters")
	}
	return sha256.Sum256([]byte(key)), nil
}

func (a *operatorAPI) routes() http.Handler {
	router := chi.NewRouter()
	router.Use(a.authenticate)
	router.Post("/v1/trials", a.handleTrial)
	router.Post("/v1/promotions", a.handlePromotion)
	router.Get("/v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.node.Status()) })
	router.Get("/v1/history", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.node.History()) })
	router.Get("/v1/document", a.handleDocument)
	router.Get("/v1/burn", a.node.reports.handleBurn)
	return router
}

func (a *operatorAPI) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		digest := sha256.Sum256([]byte(key))
		if !ok || subtle.ConstantTimeCompare(digest[:], a.keyDigest[:]) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(w, problem{Name: "unauthorised", Status: http.StatusUnauthorized, Outcome: outcomeNotRun})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (a *operatorAPI) handleTrial(w http.ResponseWriter, r *http.Request) {
	var body trialBody
	if !readBody(w, r, &body) || !validateIdentifiers(w, body.Operator, body.RequestID) {
		return
	}
	changes, err := a.node.RecordTrial(r.Context(), body.RequestID, body.Operator, []byte(body.Document))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, trialReply{Changes: changes})
}

func (a *operatorAPI) handlePromotion(w http.ResponseWriter, r *http.Request) {
	var body promotionBody
	if !readBody(w, r, &body) || !validateIdentifiers(w, body.Operator, body.RequestID) {
		return
	}
	outcome, err := a.node.Promote(r.Context(), configserver.Promotion{
		Version: body.Version, Document: []byte(body.Document), Operator: body.Operator,
		RequestID: body.RequestID, WithoutTrial: body.WithoutTrial,
	})
	if err != nil {
		writeError(w, err)
		return
	}
	writeOutcome(w, outcome)
}

func (a *operatorAPI) handleDocument(w http.ResponseWriter, _ *http.Request) {
	update := a.node.Configuration(configserver.Poll{VM: a.node.settings.VM, Zone: a.node.settings.Zone})
	writeJSON(w, documentReply{Version: update.Version, Document: string(update.Text)})
}

func validateIdentifiers(w http.ResponseWriter, operator, requestID string) bool {
	if operator != "" && requestID != "" && len(operator) <= maxIdentifierLength && len(requestID) <= maxIdentifierLength {
		return true
	}
	detail := "operator and request-id are required, with at most 128 characters"
	writeProblem(w, problem{Name: "bad-request", Status: http.StatusBadRequest, Detail: detail, Outcome: outcomeNotRun})
	return false
}

func readBody(w http.ResponseWriter, r *http.Request, target any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOperatorBody))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		return true
	}
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	writeProblem(w, problem{Name: "bad-request", Status: status, Detail: err.Error(), Outcome: outcomeNotRun})
	return false
}

// writeOutcome writes an accepted outcome as JSON and any other as a problem, which names the winner of a conflict.
func writeOutcome(w http.ResponseWriter, outcome promoter.Outcome) {
	status := http.StatusConflict
	switch outcome.Result {
	case promoter.ResultAccepted:
		writeJSON(w, outcome)
		return
	case promoter.ResultNoTrial, promoter.ResultForbidden:
		status = http.StatusUnprocessableEntity
	}
	writeProblem(w, problem{
		Name: string(outcome.Result), Status: status, Detail: outcome.Reason, Outcome: outcomeNotRun,
		Version: outcome.Version, Winner: outcome.Winner,
	})
}
