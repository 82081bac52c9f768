package session

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const directoryTimeout = 2 * time.Second

var errNoEntry = eris.New("no entry VM answers")

// Entry is one entry VM.
type Entry struct {
	VM      string         `json:"vm"`
	Address netip.AddrPort `json:"address"`
	Zone    string         `json:"zone"`
}

// directoryBody is the answer of the directory.
type directoryBody struct {
	Entries  []Entry `json:"entries"`
	Lifetime float64 `json:"lifetime-seconds"`
}

// Directory is one caller's list of entry VMs; it asks any known one for a new list when the lifetime has passed.
type Directory struct {
	client *http.Client
	key    string

	mu      sync.Mutex
	entries []Entry
	expires time.Time
	avoided map[string]bool
}

// NewDirectory returns a directory that starts from some known entry VMs.
func NewDirectory(client *http.Client, key string, seeds []Entry) *Directory {
	return &Directory{client: client, key: key, entries: seeds, avoided: map[string]bool{}}
}

// Entries returns the entry VMs, best first; those that failed since the last answer come last.
func (d *Directory) Entries(ctx context.Context) ([]Entry, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().After(d.expires) {
		if err := d.refresh(ctx); err != nil {
			return nil, err
		}
	}
	var preferred, avoided []Entry
	for _, entry := range d.entries {
		if d.avoided[entry.VM] {
			avoided = append(avoided, entry)
			continue
		}
		preferred = append(preferred, entry)
	}
	return append(preferred, avoided...), nil
}

// Avoid moves an entry VM that failed to the end until the next answer.
func (d *Directory) Avoid(entry Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoided[entry.VM] = true
}

// refresh asks the known entry VMs in turn; the mutex is held.
func (d *Directory) refresh(ctx context.Context) error {
	for _, entry := range d.entries {
		body, err := d.ask(ctx, entry)
		if err != nil || len(body.Entries) == 0 {
			continue
		}
		d.entries = body.Entries
		d.expires = time.Now().Add(time.Duration(body.Lifetime * float64(time.Second)))
		clear(d.avoided)
		return nil
	}
	return &Error{Op: "ask directory", Kind: KindDirectory, cause: errNoEntry}
}

func (d *Directory) ask(ctx context.Context, entry Entry) (directoryBody, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	var body directoryBody
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.Address.String()+"/v1/directory", nil)
	if err != nil {
		return body, &Error{Op: "ask directory", Kind: KindDirectory, cause: err}
	}
	request.Header.Set("Authorization", "Bearer "+d.key)
	response, err := d.client.Do(request)
	if err != nil {
		return body, &Error{Op: "ask directory", Kind: KindTransport, cause: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return body, problemError("ask directory", response)
	}
	return body, json.NewDecoder(response.Body).Decode(&body)
}
