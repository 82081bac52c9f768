package session

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"sequoiaspread.example/sequoia/verifier"
)

const (
	bearerKeyPrefix = "demo-"
	// maxAttempts limits the attempts of one request, so that a request that never succeeds is reported as a failure.
	maxAttempts = 40
	// maxBodyBytes limits the body of a response.
	maxBodyBytes = 8 << 20
)

var errTooManyAttempts = eris.New("no response after the maximum number of attempts")

// Caller is an organisation's client of a deployment.
type Caller struct {
	// allowedZones returns the availability zones to which calls of a service may be sent.
	allowedZones func(service string) []string
	organisation string
	client       *http.Client
	directory    *Directory
}

// NewCaller returns a caller that starts from some entry VMs. It needs the zones that the residency rules of its
// organisation allow, because an entry VM in any other zone refuses its requests.
func NewCaller(organisation string, entries []Entry, allowedZones func(service string) []string) *Caller {
	base := &http.Transport{MaxIdleConnsPerHost: idleConnections}
	client := &http.Client{Transport: verifier.NewTransport(verifier.TransportConfig{Base: base})}
	return &Caller{
		allowedZones: allowedZones,
		organisation: organisation,
		client:       client,
		directory:    NewDirectory(client, bearerKeyPrefix+organisation, entries),
	}
}

// idleConnections limits the idle connections to each entry VM; it is enough for the concurrent requests of one caller.
const idleConnections = 64

// Close closes the idle connections.
func (c *Caller) Close() {
	c.client.CloseIdleConnections()
}

// entries returns the entry VMs to which calls of a service may be sent, in order of preference.
func (c *Caller) entries(ctx context.Context, service string) ([]Entry, error) {
	all, err := c.directory.Entries(ctx)
	if err != nil {
		return nil, err
	}
	zones := c.allowedZones(service)
	allowed := slices.DeleteFunc(all, func(entry Entry) bool { return !slices.Contains(zones, entry.Zone) })
	if len(allowed) == 0 {
		return nil, &Error{Op: "choose entry VM in an allowed availability zone", Kind: KindDirectory, cause: errNoEntryVM}
	}
	return allowed, nil
}

// post sends a request once. GetBody is cleared, because with it net/http transparently retries a request with an
// idempotency key, which would hide a lost response.
func (c *Caller) post(ctx context.Context, entry Entry, method, path string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Op: method + " " + path, Kind: KindTransport, cause: err}
	}
	request.GetBody = nil
	request.Header = header.Clone()
	request.Header.Set("Authorization", "Bearer "+bearerKeyPrefix+c.organisation)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		c.directory.Demote(entry)
		return nil, &Error{Op: method + " " + path + " at " + entry.VM, Kind: sendErrorKind(err), cause: err}
	}
	return response, nil
}

// sendErrorKind returns KindResponse for a broken response, which a retry must not hide.
func sendErrorKind(err error) Kind {
	var broken *verifier.Error
	if errors.As(err, &broken) {
		return KindResponse
	}
	return KindTransport
}

// decodeBody decodes the whole body of a response.
func decodeBody(body io.Reader, target any) error {
	text, err := verifier.ReadBody(body, maxBodyBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, target)
}

func sleep(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}
