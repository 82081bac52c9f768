package recorder

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// digestBytes is the size of the digest that is kept of an opaque key whose record was dropped.
const digestBytes = 16

// Meta is the durable state of a member apart from its entries.
type Meta struct {
	View           View   `json:"view"`
	Term           uint64 `json:"reign"`            // term to which Applied belongs
	Applied        uint64 `json:"applied"`          // highest sequence number that the member has applied
	Complete       bool   `json:"complete"`         // the member holds every permit granted so far
	Joiner         string `json:"joiner,omitempty"` // member outside the view to which the primary replicates
	JoinerRequired bool   `json:"waits,omitempty"`  // permits wait for the joiner as for a member of the view
}

// State is the durable state that a member restores after a restart.
type State struct {
	Meta    Meta
	Entries []Entry
}

// Entry is one durable, replicated item. Exactly one of the pointers is set.
type Entry struct {
	ID           string        `json:"id"`
	Seq          uint64        `json:"seq"`
	Record       *Record       `json:"record,omitempty"`
	Session      *OpenSession  `json:"session,omitempty"`
	UsedKey      *UsedKey      `json:"digest,omitempty"`
	LowWatermark *LowWatermark `json:"floor,omitempty"`
}

// RecordState is the state of an idempotency record.
type RecordState string

// States of a record.
const (
	StateGranted  RecordState = "granted"
	StateFinished RecordState = "finished"
	StateUnknown  RecordState = "unknown"
	StateReleased RecordState = "released"
)

// Record is the idempotency record of one key of one organisation.
type Record struct {
	Organisation string      `json:"organisation"`
	Key          string      `json:"key"`
	Service      string      `json:"service"`
	Digest       string      `json:"digest"`
	Attempt      string      `json:"attempt"`
	State        RecordState `json:"state"`
	Epoch        uint64      `json:"epoch"`
	Created      time.Time   `json:"created"`
	Granted      time.Time   `json:"granted"`
	Response     Response    `json:"answer,omitzero"`
}

// OpenSession is an open session, whose keys are accepted.
type OpenSession struct {
	Organisation string    `json:"organisation"`
	Name         string    `json:"name"`
	Issued       time.Time `json:"issued"`
}

// UsedKey marks an opaque key whose record was dropped. It is kept permanently, so that the key is never executed
// again.
type UsedKey struct{}

// LowWatermark is the time up to which records were dropped. A key with a timestamp at or before it is expired whatever
// the clock says.
type LowWatermark struct {
	Time time.Time `json:"time"`
}

const (
	watermarkID  = "floor"
	digestPrefix = "digest/"
)

// Valid reports whether the entry has exactly one item, under that item's id.
func (e Entry) Valid() bool {
	switch {
	case e.Record != nil:
		return e == Entry{ID: recordID(e.Record.Organisation, e.Record.Key), Seq: e.Seq, Record: e.Record}
	case e.Session != nil:
		return e == Entry{ID: sessionID(e.Session.Organisation, e.Session.Name), Seq: e.Seq, Session: e.Session}
	case e.UsedKey != nil:
		return e == Entry{ID: e.ID, Seq: e.Seq, UsedKey: e.UsedKey} && strings.HasPrefix(e.ID, digestPrefix)
	case e.LowWatermark != nil:
		return e == Entry{ID: watermarkID, Seq: e.Seq, LowWatermark: e.LowWatermark}
	}
	return false
}

// recordID includes the length of the organisation so that the organisation "a/b" does not collide with the
// organisation "a" and a key "b/...".
func recordID(organisation, key string) string {
	return fmt.Sprintf("record/%d/%s/%s", len(organisation), organisation, key)
}

func sessionID(organisation, name string) string {
	return fmt.Sprintf("session/%d/%s/%s", len(organisation), organisation, name)
}

func digestID(organisation, key string) string {
	sum := sha256.Sum256([]byte(recordID(organisation, key)))
	return digestPrefix + hex.EncodeToString(sum[:digestBytes])
}
