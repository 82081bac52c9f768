package main

import (
	"encoding/binary"
	"encoding/json"
	"path/filepath"

	"sequoiaspread.example/sequoia/enforcer"
	"sequoiaspread.example/sequoia/replicator"
	"sequoiaspread.example/sequoia/storer"
)

// Buckets and keys of the store.
const (
	bucketMember = "member"
	bucketLog    = "log"
	storeFile    = "controller.db"
)

var (
	keyMemberID = []byte("id")
	keyState    = []byte("state")
	keySnapshot = []byte("snapshot")
	keyEnforced = []byte("enforced")
)

// store is the durable store; tests replace it to inject faults.
type store interface {
	Write(ops ...storer.Op) error
	Read(bucket string, key []byte) ([]byte, error)
	Scan(bucket string, visit func(key, value []byte) error) error
}

// disk keeps a member's durable state.
type disk struct {
	store store
	// last is the highest log index that the store holds.
	last uint64
	// first is the lowest log index that the store may hold.
	first uint64
}

func openStore(folder string) (*storer.Store, error) {
	opened, err := storer.Open(storer.Config{Path: filepath.Join(folder, storeFile)})
	if err != nil {
		return nil, wrapError("open data folder", kindDisk, err)
	}
	return opened, nil
}

func newDisk(store store) *disk {
	return &disk{store: store, first: 1}
}

// memberID returns the stored member id, or "" on an empty data folder.
func (d *disk) memberID() (replicator.MemberID, error) {
	value, err := d.store.Read(bucketMember, keyMemberID)
	if err != nil {
		return "", wrapError("read member id", kindDisk, err)
	}
	return replicator.MemberID(value), nil
}

// create stores the member id together with the state that the member starts from.
func (d *disk) create(id replicator.MemberID, saved replicator.Saved) error {
	ops, err := stateOps(replicator.Save{State: saved.State})
	if err != nil {
		return err
	}
	ops = append(ops, storer.Op{Bucket: bucketMember, Key: keyMemberID, Value: []byte(id)})
	if saved.Snapshot.Index > 0 {
		value, err := json.Marshal(saved.Snapshot)
		if err != nil {
			return wrapError("encode snapshot", kindDisk, err)
		}
		ops = append(ops, storer.Op{Bucket: bucketMember, Key: keySnapshot, Value: value})
	}
	return d.write("create member", ops)
}

func (d *disk) load() (replicator.Saved, error) {
	var saved replicator.Saved
	if err := d.readJSON(keyState, &saved.State); err != nil {
		return saved, err
	}
	if err := d.readJSON(keySnapshot, &saved.Snapshot); err != nil {
		return saved, err
	}
	err := d.store.Scan(bucketLog, func(_, value []byte) error {
		var entry replicator.Entry
		if err := json.Unmarshal(value, &entry); err != nil {
			return err
		}
		saved.Entries = append(saved.Entries, entry)
		return nil
	})
	if err != nil {
		return saved, wrapError("read log", kindDisk, err)
	}
	if len(saved.Entries) > 0 {
		d.first = saved.Entries[0].Index
		d.last = saved.Entries[len(saved.Entries)-1].Index
	}
	return saved, nil
}

// save performs all saves in one synced transaction.
func (d *disk) save(saves []replicator.Save) error {
	if len(saves) == 0 {
		return nil
	}
	var ops []storer.Op
	for _, save := range saves {
		next, err := d.saveOps(save)
		if err != nil {
			return err
		}
		ops = append(ops, next...)
	}
	return d.write("save", ops)
}

func (d *disk) saveOps(save replicator.Save) ([]storer.Op, error) {
	ops, err := stateOps(save)
	if err != nil {
		return nil, err
	}
	if save.TruncateFrom > 0 {
		ops = append(ops, deleteOps(max(save.TruncateFrom, d.first), d.last)...)
		d.last = min(d.last, save.TruncateFrom-1)
	}
	for _, entry := range save.Entries {
		value, err := json.Marshal(entry)
		if err != nil {
			return nil, wrapError("encode entry", kindDisk, err)
		}
		ops = append(ops, storer.Op{Bucket: bucketLog, Key: logKey(entry.Index), Value: value})
		d.last = entry.Index
	}
	if save.Snapshot == nil {
		return ops, nil
	}
	value, err := json.Marshal(save.Snapshot)
	if err != nil {
		return nil, wrapError("encode snapshot", kindDisk, err)
	}
	ops = append(ops, storer.Op{Bucket: bucketMember, Key: keySnapshot, Value: value})
	ops = append(ops, deleteOps(d.first, min(d.last, save.FirstIndex-1))...)
	d.first = save.FirstIndex
	return ops, nil
}

func stateOps(save replicator.Save) ([]storer.Op, error) {
	value, err := json.Marshal(save.State)
	if err != nil {
		return nil, wrapError("encode state", kindDisk, err)
	}
	return []storer.Op{{Bucket: bucketMember, Key: keyState, Value: value}}, nil
}

func deleteOps(from, to uint64) []storer.Op {
	var ops []storer.Op
	for index := from; index <= to; index++ {
		ops = append(ops, storer.Op{Bucket: bucketLog, Key: logKey(index)})
	}
	return ops
}

func logKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}

// enforced returns the highest document that this controller had in force.
func (d *disk) enforced() (enforcer.Document, error) {
	var document enforcer.Document
	err := d.readJSON(keyEnforced, &document)
	return document, err
}

// saveEnforced makes a document durable before any process learns that it is in force here.
func (d *disk) saveEnforced(document enforcer.Document) error {
	value, err := json.Marshal(document)
	if err != nil {
		return wrapError("encode document", kindDisk, err)
	}
	return d.write("save document", []storer.Op{{Bucket: bucketMember, Key: keyEnforced, Value: value}})
}

func (d *disk) write(op string, ops []storer.Op) error {
	if err := d.store.Write(ops...); err != nil {
		return wrapError(op, kindDisk, err)
	}
	return nil
}

func (d *disk) readJSON(key []byte, into any) error {
	value, err := d.store.Read(bucketMember, key)
	if err != nil {
		return wrapError("read "+string(key), kindDisk, err)
	}
	if value == nil {
		return nil
	}
	if err := json.Unmarshal(value, into); err != nil {
		return wrapError("decode "+string(key), kindDisk, err)
	}
	return nil
}
