package main

import (
	"encoding/json"

	"sequoiaspread.example/sequoia/recorder"
	"sequoiaspread.example/sequoia/storer"
)

const (
	bucketRecords     = "records"
	bucketRecordState = "record-state"
	// recordsFile is a file of its own, so that records and agreement do not wait for each other's synced writes.
	recordsFile = "records.db"
)

var (
	keyRecordMeta   = []byte("meta")
	keyRecordMember = []byte("member")
)

// recordsDisk keeps the entries of the records.
type recordsDisk struct {
	store store
}

// load returns the state of the member; state of another member id in the file is an error, because it may lack
// permits that were given since.
func (d recordsDisk) load(member string) (recorder.State, error) {
	var state recorder.State
	owner, err := d.store.Read(bucketRecordState, keyRecordMember)
	if err != nil {
		return state, wrapError("read records", kindDisk, err)
	}
	if owner == nil {
		return state, d.claim(member)
	}
	if string(owner) != member {
		return state, newError("read records", kindDisk, "the records belong to member "+string(owner))
	}
	value, err := d.store.Read(bucketRecordState, keyRecordMeta)
	if err != nil {
		return state, wrapError("read records", kindDisk, err)
	}
	if value == nil {
		return state, nil
	}
	if err := json.Unmarshal(value, &state.Meta); err != nil {
		return state, wrapError("decode records", kindDisk, err)
	}
	state.Entries, err = d.entries()
	return state, err
}

func (d recordsDisk) claim(member string) error {
	err := d.store.Write(storer.Op{Bucket: bucketRecordState, Key: keyRecordMember, Value: []byte(member)})
	if err != nil {
		return wrapError("claim records", kindDisk, err)
	}
	return nil
}

func (d recordsDisk) entries() ([]recorder.Entry, error) {
	var entries []recorder.Entry
	err := d.store.Scan(bucketRecords, func(_, value []byte) error {
		var entry recorder.Entry
		if err := json.Unmarshal(value, &entry); err != nil {
			return err
		}
		entries = append(entries, entry)
		return nil
	})
	if err != nil {
		return nil, wrapError("read records", kindDisk, err)
	}
	return entries, nil
}

// write performs all Persist effects in one synced transaction.
func (d recordsDisk) write(effects []recorder.Effect) error {
	var ops []storer.Op
	var meta *recorder.Meta
	for _, effect := range effects {
		persist, ok := effect.(recorder.Persist)
		if !ok {
			continue
		}
		next, err := d.opsOf(persist)
		if err != nil {
			return err
		}
		if persist.Clear {
			ops = nil
		}
		ops = append(ops, next...)
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

func (d recordsDisk) opsOf(persist recorder.Persist) ([]storer.Op, error) {
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
