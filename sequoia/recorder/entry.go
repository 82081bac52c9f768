package recorder

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// digestBytes is the size of the digest that stays of a key that carries no time.
const digestBytes = 16

// Meta is the durable state of a member besides its entries.
type Meta struct {
	View           View   `json:"view"`
	Term           uint64 `json:"reign"`            // reign to which Applied belongs
	Applied        uint64 `json:"applied"`          // highest sequence number that the member holds
	Complete       bool   `json:"complete"`         // the member holds every permit given so far
	Joiner         string `json:"joiner,omitempty"` // member outside the view that the primary copies to
	JoinerRequired bool   `json:"waits,omitempty"`  // permits wait for the joiner as for a member
}

// State is what a member restores after a restart.
type State struct {
	Meta    Meta
	Entries []Entry
}

// Entry is one durable and copied item; exactly one of the pointers is set.
type Entry struct {
	ID           string        `json:"id"`
	Seq          uint64        `json:"seq"`
	Record       *Record       `json:"record,omitempty"`
	Session      *OpenSession  `json:"session,omitempty"`
	UsedKey      *UsedKey      `json:"digest,omitempty"`
	LowWatermark *LowWatermark `json:"floor,omitempty"`
}

// RecordState is the state of a booking record.
type RecordState string

// States of a record.
const (
	StateGranted  RecordState = "granted"
	StateFinished RecordState = "finished"
	StateUnknown  RecordState = "unknown"
	StateReleased RecordState = "released"
)

// Record is the booking record of one key of one organisation.
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

// OpenSession is a session whose keys are accepted.
type OpenSession struct {
	Organisation string    `json:"organisation"`
	Name         string    `json:"name"`
	Issued       time.Time `json:"issued"`
}

// UsedKey marks a key without time whose record has been dropped; it is kept permanently.
type UsedKey struct{}

// Floor is the time up to which records were dropped: a key dated at or before it is expired whatever the clock says.
type LowWatermark struct {
	Time time.Time `json:"time"`
}

const (
	floorID      = "floor"
	digestPrefix = "digest/"
)

// Valid reports whether the entry is exactly one item under the id that the item has.
func (e Entry) Valid() bool {
	switch {
	case e.Record != nil:
		return e == Entry{ID: recordID(e.Record.Organisation, e.Record.Key), Seq: e.Seq, Record: e.Record}
	case e.Session != nil:
		return e == Entry{ID: sessionID(e.Session.Organisation, e.Session.Name), Seq: e.Seq, Session: e.Session}
	case e.UsedKey != nil:
		return e == Entry{ID: e.ID, Seq: e.Seq, UsedKey: e.UsedKey} && strings.HasPrefix(e.ID, digestPrefix)
	case e.LowWatermark != nil:
		return e == Entry{ID: floorID, Seq: e.Seq, LowWatermark: e.LowWatermark}
	}
	return false
}

// The length keeps an organisation named "a/b" apart from the organisation "a" with a key "b/...".
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
