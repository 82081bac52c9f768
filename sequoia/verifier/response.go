package verifier

import (
	"fmt"
	"net/http"
)

// Status codes of responses, informational ones included.
const (
	minStatus = http.StatusContinue
	maxStatus = 599
)

// CheckHead returns an error for the head of a response, also an informational one, that net/http takes and that is broken.
func CheckHead(response *http.Response) error {
	return checkStatus(response.StatusCode)
}

func checkStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return newError("check head", KindInvalidStatus, fmt.Sprintf("status code %03d", status))
	}
	return nil
}
