package session

import (
	"bytes"
	"context"
	"net/http"
	"slices"
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
	// zones returns the availability zones to which calls of a service may be sent.
	zones        func(service string) []string
	organisation string
	client       *http.Client
	directory    *Directory
}

// NewCaller returns a caller that knows some entry VMs. It knows the residency rules of its organisation, as zones
// states them, because a request that reaches an entry VM elsewhere is refused.
func NewCaller(organisation string, seeds []Entry, zones func(service string) []string) *Caller {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	return &Caller{
		zones:        zones,
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

// entries returns the entry VMs to which calls of a service may be sent, best first.
func (c *Caller) entries(ctx context.Context, service string) ([]Entry, error) {
	all, err := c.directory.Entries(ctx)
	if err != nil {
		return nil, err
	}
	zones := c.zones(service)
	allowed := slices.DeleteFunc(all, func(entry Entry) bool { return !slices.Contains(zones, entry.Zone) })
	if len(allowed) == 0 {
		return nil, &Error{Op: "choose entry VM", Kind: KindDirectory, cause: errNoEntry}
	}
	return allowed, nil
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
