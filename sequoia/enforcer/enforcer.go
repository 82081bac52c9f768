package enforcer

import (
	"bytes"
	"fmt"
	"slices"
)

// Config holds the sources that a starting process queries before it is ready: the peers of its availability zone and
// the controllers.
type Config struct {
	Sources []string
}

// Document is one version of the document.
type Document struct {
	Version uint64
	Text    []byte
}

// Enforcer holds the enforced document of one process. It is not safe for concurrent use.
type Enforcer struct {
	pendingSources []string
	anyResponded   bool
	current        Document
}

// New returns an Enforcer without a document.
func New(config Config) *Enforcer {
	return &Enforcer{pendingSources: slices.Clone(config.Sources)}
}

// Offer enforces a document from any source if its version is higher than the enforced one, and reports whether it did.
// The error has kind documents-differ when its version is the enforced one but its text differs; the enforced document
// then stays.
func (e *Enforcer) Offer(document Document) (bool, error) {
	switch {
	case document.Version < e.current.Version || document.Version == 0:
		return false, nil
	case document.Version == e.current.Version && !bytes.Equal(document.Text, e.current.Text):
		return false, newError("offer document", KindDocumentsDiffer, fmt.Sprintf("version %d has two different texts", document.Version))
	case document.Version == e.current.Version:
		return false, nil
	}
	e.current = Document{Version: document.Version, Text: bytes.Clone(document.Text)}
	return true, nil
}

// RecordResponse records that a source was queried at start and whether it responded.
func (e *Enforcer) RecordResponse(source string, responded bool) {
	e.pendingSources = slices.DeleteFunc(e.pendingSources, func(each string) bool { return each == source })
	e.anyResponded = e.anyResponded || responded
}

// Ready reports whether every source was queried, at least one responded, and a document is enforced.
func (e *Enforcer) Ready() bool {
	return len(e.pendingSources) == 0 && e.anyResponded && e.current.Version > 0
}

// Current returns the enforced document; version 0 means none.
func (e *Enforcer) Current() Document {
	return e.current
}
