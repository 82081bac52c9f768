package session

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const directoryTimeout = 2 * time.Second

var errNoEntryVM = eris.New("no entry VM is available")

// Entry is one entry VM.
type Entry struct {
	VM      string         `json:"vm"`
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
}

// directoryBody is the body of a directory response.
type directoryBody struct {
	Entries  []Entry `json:"entries"`
	Lifetime float64 `json:"lifetime-seconds"`
}

// Directory is one caller's list of entry VMs. When it has expired, a known entry VM is queried for a new list.
type Directory struct {
	client    *http.Client
	bearerKey string

	mu      sync.Mutex
	entries []Entry
	expires time.Time
	demoted map[string]bool
}

// NewDirectory returns a directory that starts from some entry VMs.
func NewDirectory(client *http.Client, bearerKey string, entries []Entry) *Directory {
	return &Directory{client: client, bearerKey: bearerKey, entries: entries, demoted: map[string]bool{}}
}

// Entries returns the entry VMs in order of preference; those that were demoted since the last refresh come last.
func (d *Directory) Entries(ctx context.Context) ([]Entry, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().After(d.expires) {
		if err := d.refresh(ctx); err != nil {
			return nil, err
		}
	}
	var preferred, demoted []Entry
	for _, entry := range d.entries {
		if d.demoted[entry.VM] {
			demoted = append(demoted, entry)
			continue
		}
		preferred = append(preferred, entry)
	}
	return append(preferred, demoted...), nil
}

// Demote moves an entry VM that failed to the end of the list until the next refresh.
func (d *Directory) Demote(entry Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.demoted[entry.VM] = true
}

// refresh queries the known entry VMs in turn until one returns a list; the caller must hold the mutex.
func (d *Directory) refresh(ctx context.Context) error {
	for _, entry := range d.entries {
		body, err := d.fetch(ctx, entry)
		if err != nil || len(body.Entries) == 0 {
			continue
		}
		d.entries = body.Entries
		d.expires = time.Now().Add(time.Duration(body.Lifetime * float64(time.Second)))
		clear(d.demoted)
		return nil
	}
	return &Error{Op: "query directory at all known entry VMs", Kind: KindDirectory, cause: errNoEntryVM}
}

func (d *Directory) fetch(ctx context.Context, entry Entry) (directoryBody, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	var body directoryBody
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.Address.String()+"/v1/directory", nil)
	if err != nil {
		return body, &Error{Op: "query directory", Kind: KindDirectory, cause: err}
	}
	request.Header.Set("Authorization", "Bearer "+d.bearerKey)
	response, err := d.client.Do(request)
	if err != nil {
		return body, &Error{Op: "query directory", Kind: KindTransport, cause: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return body, problemError("query directory", response)
	}
	err = decodeBody(response.Body, &body)
	return body, err
}
