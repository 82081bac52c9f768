package agreer

import (
	"encoding/binary"
	"encoding/json"

	"sequoiaspread.example/sequoia/replicator"
	"sequoiaspread.example/sequoia/storer"
)

// Buckets of the store.
const (
	bucketMember = "member"
	bucketLog    = "log"
)

var (
	keyMemberID = []byte("id")
	keyState    = []byte("state")
	keySnapshot = []byte("snapshot")
)

// Store is the durable key-value store of a member.
type Store interface {
	Write(ops ...storer.Op) error
	Read(bucket string, key []byte) ([]byte, error)
	Scan(bucket string, visit func(key, value []byte) error) error
}

// Disk stores the durable state of a member.
type Disk struct {
	// Store may be replaced before Run to inject faults.
	Store Store
	// lastIndex is the highest log index in the store.
	lastIndex uint64
	// firstIndex is the lowest log index that may be in the store.
	firstIndex uint64
}

// NewDisk returns a disk on an open store.
func NewDisk(store Store) *Disk {
	return &Disk{Store: store, firstIndex: 1}
}

// MemberID returns the stored member id, or "" if the store is empty.
func (d *Disk) MemberID() (replicator.MemberID, error) {
	value, err := d.Store.Read(bucketMember, keyMemberID)
	if err != nil {
		return "", wrapError("read member id", KindDisk, err)
	}
	return replicator.MemberID(value), nil
}

// Create stores the member id together with the initial state of the member.
func (d *Disk) Create(id replicator.MemberID, saved replicator.DurableState) error {
	ops, err := stateOps(replicator.Save{State: saved.State})
	if err != nil {
		return err
	}
	ops = append(ops, storer.Op{Bucket: bucketMember, Key: keyMemberID, Value: []byte(id)})
	if saved.Snapshot.Index > 0 {
		value, err := json.Marshal(saved.Snapshot)
		if err != nil {
			return wrapError("encode snapshot", KindDisk, err)
		}
		ops = append(ops, storer.Op{Bucket: bucketMember, Key: keySnapshot, Value: value})
	}
	return d.Write("create member", ops)
}

// Load returns the state that the member resumes from.
func (d *Disk) Load() (replicator.DurableState, error) {
	var saved replicator.DurableState
	if err := d.ReadMemberValue(keyState, &saved.State); err != nil {
		return saved, err
	}
	if err := d.ReadMemberValue(keySnapshot, &saved.Snapshot); err != nil {
		return saved, err
	}
	err := d.Store.Scan(bucketLog, func(_, value []byte) error {
		var entry replicator.Entry
		if err := json.Unmarshal(value, &entry); err != nil {
			return err
		}
		saved.Entries = append(saved.Entries, entry)
		return nil
	})
	if err != nil {
		return saved, wrapError("read log", KindDisk, err)
	}
	if len(saved.Entries) > 0 {
		d.firstIndex = saved.Entries[0].Index
		d.lastIndex = saved.Entries[len(saved.Entries)-1].Index
	}
	return saved, nil
}

// save writes all saves in one synced transaction.
func (d *Disk) save(saves []replicator.Save) error {
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
	return d.Write("save", ops)
}

func (d *Disk) saveOps(save replicator.Save) ([]storer.Op, error) {
	ops, err := stateOps(save)
	if err != nil {
		return nil, err
	}
	if save.TruncateFrom > 0 {
		ops = append(ops, deleteOps(max(save.TruncateFrom, d.firstIndex), d.lastIndex)...)
		d.lastIndex = min(d.lastIndex, save.TruncateFrom-1)
	}
	for _, entry := range save.Entries {
		value, err := json.Marshal(entry)
		if err != nil {
			return nil, wrapError("encode entry", KindDisk, err)
		}
		ops = append(ops, storer.Op{Bucket: bucketLog, Key: logKey(entry.Index), Value: value})
		d.lastIndex = entry.Index
	}
	if save.Snapshot == nil {
		return ops, nil
	}
	value, err := json.Marshal(save.Snapshot)
	if err != nil {
		return nil, wrapError("encode snapshot", KindDisk, err)
	}
	ops = append(ops, storer.Op{Bucket: bucketMember, Key: keySnapshot, Value: value})
	ops = append(ops, deleteOps(d.firstIndex, min(d.lastIndex, save.FirstIndex-1))...)
	d.firstIndex = save.FirstIndex
	return ops, nil
}

func stateOps(save replicator.Save) ([]storer.Op, error) {
	value, err := json.Marshal(save.State)
	if err != nil {
		return nil, wrapError("encode state", KindDisk, err)
	}
	return []storer.Op{MemberValueOp(keyState, value)}, nil
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

// Write writes operations of the owner in one synced transaction; op names the operation in an error.
func (d *Disk) Write(op string, ops []storer.Op) error {
	if err := d.Store.Write(ops...); err != nil {
		return wrapError(op, KindDisk, err)
	}
	return nil
}

// ReadMemberValue decodes the value of a key in the bucket of the member id; a missing key leaves target unchanged.
func (d *Disk) ReadMemberValue(key []byte, target any) error {
	value, err := d.Store.Read(bucketMember, key)
	if err != nil {
		return wrapError("read "+string(key), KindDisk, err)
	}
	if value == nil {
		return nil
	}
	if err := json.Unmarshal(value, target); err != nil {
		return wrapError("decode "+string(key), KindDisk, err)
	}
	return nil
}

// MemberValueOp returns a write of a value in the bucket of the member id; a nil value deletes the key.
func MemberValueOp(key, value []byte) storer.Op {
	return storer.Op{Bucket: bucketMember, Key: key, Value: value}
}

// LogLength returns an upper bound of the number of log entries in the store.
func (d *Disk) LogLength() uint64 {
	return d.lastIndex + 1 - d.firstIndex
}

// Wipe deletes the member and its log, so that a new member can use the disk.
func (d *Disk) Wipe() error {
	ops := deleteOps(d.firstIndex, d.lastIndex)
	for _, key := range [][]byte{keyMemberID, keyState, keySnapshot} {
		ops = append(ops, MemberValueOp(key, nil))
	}
	return d.Write("wipe member", ops)
}
