package session

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	keyPrefix = "demo-"
	// tryLimit bounds the resends of one request, so that a request that never succeeds ends the session with a fault.
	tryLimit = 40
)

var errTries = eris.New("no answer after the allowed number of resends")

// Caller is an organisation's client of a deployment.
type Caller struct {
	organisation string
	client       *http.Client
	directory    *Directory
}

// NewCaller returns a caller that knows some entry VMs.
func NewCaller(organisation string, seeds []Entry) *Caller {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	return &Caller{
		organisation: organisation,
		client:       client,
		directory:    NewDirectory(client, keyPrefix+organisation, seeds),
	}
}

// idleConnections keeps enough connections for the requests of one caller that run at the same time.
const idleConnections = 64

// Close closes the idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// post sends a request once. GetBody is cleared, because with it the HTTP library resends a request with an
// idempotency key by itself, which would hide a lost answer.
func (c *Caller) post(ctx context.Context, entry Entry, method, path string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Op: method + " " + path, Kind: KindTransport, cause: err}
	}
	request.GetBody = nil
	request.Header = header.Clone()
	request.Header.Set("Authorization", "Bearer "+keyPrefix+c.organisation)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		c.directory.Avoid(entry)
		return nil, &Error{Op: method + " " + path + " at " + entry.VM, Kind: KindTransport, cause: err}
	}
	return response, nil
}

func wait(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}
