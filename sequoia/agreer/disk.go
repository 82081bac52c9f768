package agreer

import (
	"encoding/binary"
	"encoding/json"

	"sequoiaspread.example/sequoia/replicator"
	"sequoiaspread.example/sequoia/storer"
)

// Buckets and keys of the store.
const (
	bucketMember = "member"
	bucketLog    = "log"
)

var (
	keyMemberID = []byte("id")
	keyState    = []byte("state")
	keySnapshot = []byte("snapshot")
)

// Store is the durable store of a member.
type Store interface {
	Write(ops ...storer.Op) error
	Read(bucket string, key []byte) ([]byte, error)
	Scan(bucket string, visit func(key, value []byte) error) error
}

// Disk keeps a member's durable state.
type Disk struct {
	// Store may be replaced before Run, to inject faults.
	Store Store
	// last is the highest log index that the store holds.
	last uint64
	// first is the lowest log index that the store may hold.
	first uint64
}

// NewDisk returns a disk on an open store.
func NewDisk(store Store) *Disk {
	return &Disk{Store: store, first: 1}
}

// MemberID returns the stored member id, or "" on an empty data folder.
func (d *Disk) MemberID() (replicator.MemberID, error) {
	value, err := d.Store.Read(bucketMember, keyMemberID)
	if err != nil {
		return "", wrapError("read member id", KindDisk, err)
	}
	return replicator.MemberID(value), nil
}

// Create stores the member id together with the state that the member starts from.
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

// Load returns the state that the member continues from.
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
		d.first = saved.Entries[0].Index
		d.last = saved.Entries[len(saved.Entries)-1].Index
	}
	return saved, nil
}

// save performs all saves in one synced transaction.
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
		ops = append(ops, deleteOps(max(save.TruncateFrom, d.first), d.last)...)
		d.last = min(d.last, save.TruncateFrom-1)
	}
	for _, entry := range save.Entries {
		value, err := json.Marshal(entry)
		if err != nil {
			return nil, wrapError("encode entry", KindDisk, err)
		}
		ops = append(ops, storer.Op{Bucket: bucketLog, Key: logKey(entry.Index), Value: value})
		d.last = entry.Index
	}
	if save.Snapshot == nil {
		return ops, nil
	}
	value, err := json.Marshal(save.Snapshot)
	if err != nil {
		return nil, wrapError("encode snapshot", KindDisk, err)
	}
	ops = append(ops, storer.Op{Bucket: bucketMember, Key: keySnapshot, Value: value})
	ops = append(ops, deleteOps(d.first, min(d.last, save.FirstIndex-1))...)
	d.first = save.FirstIndex
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

// Write performs operations of the owner in one synced transaction.
func (d *Disk) Write(op string, ops []storer.Op) error {
	if err := d.Store.Write(ops...); err != nil {
		return wrapError(op, KindDisk, err)
	}
	return nil
}

// ReadMember decodes the value that a key has beside the member id; a missing one leaves into as it is.
func (d *Disk) ReadMemberValue(key []byte, into any) error {
	value, err := d.Store.Read(bucketMember, key)
	if err != nil {
		return wrapError("read "+string(key), KindDisk, err)
	}
	if value == nil {
		return nil
	}
	if err := json.Unmarshal(value, into); err != nil {
		return wrapError("decode "+string(key), KindDisk, err)
	}
	return nil
}

// MemberOp is a write of a value beside the member id.
func MemberValueOp(key, value []byte) storer.Op {
	return storer.Op{Bucket: bucketMember, Key: key, Value: value}
}

// Entries returns the number of log entries that the store holds at most.
func (d *Disk) LogLength() uint64 {
	return d.last + 1 - d.first
}

// Wipe removes the member with its log, so that the disk can be given to a new member.
func (d *Disk) Wipe() error {
	ops := deleteOps(d.first, d.last)
	for _, key := range [][]byte{keyMemberID, keyState, keySnapshot} {
		ops = append(ops, MemberValueOp(key, nil))
	}
	return d.Write("wipe member", ops)
}
