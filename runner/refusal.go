package main

import "net/http"

// refusal says why a request was not run.
type refusal struct {
	status int
	kind   string
}

var (
	refusalLeaving = refusal{status: http.StatusServiceUnavailable, kind: "leaving"}
	refusalModel   = refusal{status: http.StatusNotFound, kind: "model_not_found"}
	refusalFull    = refusal{status: http.StatusTooManyRequests, kind: "queue-full"}
	refusalTooLong = refusal{status: http.StatusRequestEntityTooLarge, kind: "prompt-too-long"}
	refusalResume  = refusal{status: http.StatusNotFound, kind: "stream-not-kept"}
	refusalFencing = refusal{status: http.StatusConflict, kind: "old-fencing-number"}
	refusalOrder   = refusal{status: http.StatusBadRequest, kind: "unknown-state"}
	refusalBody    = refusal{status: http.StatusBadRequest, kind: "invalid-body"}
)

// errorBody is an error in the form of the OpenAI interface.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail names the kind of an error.
type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func (r refusal) write(w http.ResponseWriter) {
	writeJSON(w, r.status, errorBody{Error: errorDetail{Message: r.kind, Type: "invalid_request_error", Code: r.kind}})
}
