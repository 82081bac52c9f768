package enforcer

import (
	"bytes"
	"fmt"
	"slices"
)

// Config names the sources that a starting process asks before it is ready: the peers of its availability zone and
// controllers.
type Config struct {
	Sources []string
}

// Document is the text of one version.
type Document struct {
	Version uint64
	Text    []byte
}

// Enforcer holds the document in force in one process. It is not safe for use by several goroutines.
type Enforcer struct {
	unasked  []string
	answered bool
	current  Document
}

// New returns an Enforcer without a document.
func New(config Config) *Enforcer {
	return &Enforcer{unasked: slices.Clone(config.Sources)}
}

// Offer takes a document from any source and reports whether it is in force from now on: only a higher version is.
// The error has kind documents-differ when another text came with the version in force, which stays in force.
func (e *Enforcer) Offer(offer Document) (bool, error) {
	switch {
	case offer.Version < e.current.Version || offer.Version == 0:
		return false, nil
	case offer.Version == e.current.Version && !bytes.Equal(offer.Text, e.current.Text):
		return false, newError("offer document", KindDocumentsDiffer, fmt.Sprintf("version %d came with two texts", offer.Version))
	case offer.Version == e.current.Version:
		return false, nil
	}
	e.current = Document{Version: offer.Version, Text: bytes.Clone(offer.Text)}
	return true, nil
}

// Asked records that a source was asked at start and whether it answered.
func (e *Enforcer) RecordAnswer(source string, answered bool) {
	e.unasked = slices.DeleteFunc(e.unasked, func(each string) bool { return each == source })
	e.answered = e.answered || answered
}

// Ready reports whether every source was asked, one answered, and a document is in force.
func (e *Enforcer) Ready() bool {
	return len(e.unasked) == 0 && e.answered && e.current.Version > 0
}

// Current returns the document in force; version 0 means none.
func (e *Enforcer) Current() Document {
	return e.current
}
