package main

import (
	"encoding/json"
	"errors"
	"path/filepath"

	"sequoiaspread.example/sequoia/agreer"
	"sequoiaspread.example/sequoia/recorder"
	"sequoiaspread.example/sequoia/storer"
)

const (
	bucketRecords     = "records"
	bucketRecordState = "record-state"
	// recordsFile is separate from storeFile, so that records and the consensus log do not wait for each other's synced
	// writes.
	recordsFile = "records.db"
)

var (
	keyRecordMeta  = []byte("meta")
	keyRecordOwner = []byte("owner")
)

// recordStore stores the idempotency records; tests replace it to inject faults.
type recordStore interface {
	agreer.Store
	Close() error
}

// recordsOwner identifies the member that the records file belongs to.
type recordsOwner struct {
	Member  string `json:"member"`
	Initial bool   `json:"initial"` // created by init, together with the first view
}

// recordsDisk reads and writes the entries and metadata of the idempotency records.
type recordsDisk struct {
	store agreer.Store
}

func openRecordStore(folder string) (recordStore, error) {
	store, err := storer.Open(storer.Config{Path: filepath.Join(folder, recordsFile)})
	if err != nil {
		return nil, wrapError("open records", kindDisk, err)
	}
	return store, nil
}

// createRecordStore creates the records file of an initial member; it is idempotent.
func createRecordStore(folder, member string) (err error) {
	store, err := openRecordStore(folder)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	disk := &recordsDisk{store: store}
	owner, err := disk.owner()
	if err != nil || owner.Member == member {
		return err
	}
	if owner.Member != "" {
		return newError("create records", kindSettings, "the records belong to member "+owner.Member)
	}
	return disk.setOwner(recordsOwner{Member: member, Initial: true})
}

// load returns the stored state of a member, and makes the member the owner of an empty file. State of another member
// is an error, because it may lack permits that were granted since.
func (d *recordsDisk) load(member string) (recordsOwner, recorder.State, error) {
	var state recorder.State
	owner, err := d.owner()
	if err != nil {
		return owner, state, err
	}
	if owner.Member == "" {
		owner.Member = member
		return owner, state, d.setOwner(owner)
	}
	if owner.Member != member {
		return owner, state, newError("read records", kindDisk, "the records belong to member "+owner.Member)
	}
	if err := d.readJSON(keyRecordMeta, &state.Meta); err != nil {
		return owner, state, err
	}
	state.Entries, err = d.entries()
	return owner, state, err
}

func (d *recordsDisk) owner() (recordsOwner, error) {
	var owner recordsOwner
	err := d.readJSON(keyRecordOwner, &owner)
	return owner, err
}

func (d *recordsDisk) setOwner(owner recordsOwner) error {
	value, err := json.Marshal(owner)
	if err != nil {
		return wrapError("store record owner", kindDisk, err)
	}
	if err := d.store.Write(storer.Op{Bucket: bucketRecordState, Key: keyRecordOwner, Value: value}); err != nil {
		return wrapError("store record owner", kindDisk, err)
	}
	return nil
}

func (d *recordsDisk) readJSON(key []byte, target any) error {
	value, err := d.store.Read(bucketRecordState, key)
	if err != nil {
		return wrapError("read records", kindDisk, err)
	}
	if value == nil {
		return nil
	}
	if err := json.Unmarshal(value, target); err != nil {
		return wrapError("decode records", kindDisk, err)
	}
	return nil
}

func (d *recordsDisk) entries() ([]recorder.Entry, error) {
	var entries []recorder.Entry
	err := d.store.Scan(bucketRecords, func(key, value []byte) error {
		var entry recorder.Entry
		if err := json.Unmarshal(value, &entry); err != nil {
			return err
		}
		if !entry.Valid() {
			return newError("read records", kindDisk, "entry "+string(key)+" is not valid")
		}
		entries = append(entries, entry)
		return nil
	})
	if err != nil {
		return nil, wrapError("read records", kindDisk, err)
	}
	return entries, nil
}

// write applies all Persist effects in one synced transaction.
func (d *recordsDisk) write(effects []recorder.Effect) error {
	var ops []storer.Op
	var meta *recorder.Meta
	for _, effect := range effects {
		persist, ok := effect.(recorder.Persist)
		if !ok {
			continue
		}
		persistOps, err := d.persistOps(persist)
		if err != nil {
			return err
		}
		if persist.Clear {
			ops = nil
		}
		ops = append(ops, persistOps...)
		meta = &persist.Meta
	}
	if meta == nil {
		return nil
	}
	value, err := json.Marshal(meta)
	if err != nil {
		return wrapError("encode records", kindDisk, err)
	}
	ops = append(ops, storer.Op{Bucket: bucketRecordState, Key: keyRecordMeta, Value: value})
	if err := d.store.Write(ops...); err != nil {
		return wrapError("write records", kindDisk, err)
	}
	return nil
}

func (d *recordsDisk) persistOps(persist recorder.Persist) ([]storer.Op, error) {
	var ops []storer.Op
	if persist.Clear {
		err := d.store.Scan(bucketRecords, func(key, _ []byte) error {
			ops = append(ops, storer.Op{Bucket: bucketRecords, Key: append([]byte{}, key...)})
			return nil
		})
		if err != nil {
			return nil, wrapError("clear records", kindDisk, err)
		}
	}
	for _, entry := range persist.Entries {
		value, err := json.Marshal(entry)
		if err != nil {
			return nil, wrapError("encode records", kindDisk, err)
		}
		ops = append(ops, storer.Op{Bucket: bucketRecords, Key: []byte(entry.ID), Value: value})
	}
	for _, id := range persist.Removed {
		ops = append(ops, storer.Op{Bucket: bucketRecords, Key: []byte(id)})
	}
	return ops, nil
}
