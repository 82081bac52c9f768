package verifier

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Status codes of responses, informational ones included.
const (
	minStatus = http.StatusContinue
	maxStatus = 599
)

// CheckHead returns an error for the head of a response, also an informational one, that net/http takes and that is broken.
func CheckHead(response *http.Response) error {
	if err := checkStatus(response.StatusCode); err != nil {
		return err
	}
	return checkFields("check head", response.Header)
}

// checkStatus returns an error for a status that no response can have. No request asks for another protocol, so what follows
// a switch to one is no response either.
func checkStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return newError("check head", KindInvalidStatus, fmt.Sprintf("status code %03d", status))
	}
	return nil
}

// checkFields returns an error if the name of a field is no token. Package net/http takes names with a blank and leaves
// them as they are, so that a field that frames the body is not found. The error leaves the name out: what was read as a
// name may be a part of a body.
func checkFields(op string, fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return newError(op, KindInvalidField, "the name of a field is no token")
		}
	}
	return nil
}

// Body returns the body of a response, whose end is an error if the trailer is broken.
func Body(response *http.Response) io.ReadCloser {
	return &body{ReadCloser: response.Body, response: response}
}

// ReadBody reads a body to its end, at most a number of bytes. Nothing is known of a body that is not read to its end: it
// may have been cut off.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(text)) > limit {
		return nil, newError("read body", KindBodyTooLarge, fmt.Sprintf("the limit is %d bytes", limit))
	}
	return text, nil
}

type body struct {
	io.ReadCloser
	response *http.Response
}

// Read reads the body. The trailer is known at its end.
func (b *body) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if broken := checkFields("check trailer", b.response.Trailer); broken != nil {
		return n, broken
	}
	return n, err
}
