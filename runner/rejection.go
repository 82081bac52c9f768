package main

import "net/http"

// rejection is the status and the error code of a request that was not run.
type rejection struct {
	status int
	code   string
}

var (
	rejectionDraining        = rejection{status: http.StatusServiceUnavailable, code: "leaving"}
	rejectionModelNotFound   = rejection{status: http.StatusNotFound, code: "model_not_found"}
	rejectionQueueFull       = rejection{status: http.StatusTooManyRequests, code: "queue-full"}
	rejectionPromptTooLong   = rejection{status: http.StatusRequestEntityTooLarge, code: "prompt-too-long"}
	rejectionStreamNotKept   = rejection{status: http.StatusNotFound, code: "stream-not-kept"}
	rejectionOldFencingToken = rejection{status: http.StatusConflict, code: "old-fencing-number"}
	rejectionUnknownState    = rejection{status: http.StatusBadRequest, code: "unknown-state"}
	rejectionInvalidBody     = rejection{status: http.StatusBadRequest, code: "invalid-body"}
)

// errorBody is an error response in the format of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail holds the fields of an error response.
type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func (r rejection) write(w http.ResponseWriter) {
	writeJSON(w, r.status, errorBody{Error: errorDetail{Message: r.code, Type: "invalid_request_error", Code: r.code}})
}
