package storer

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"go.etcd.io/bbolt"
)

const (
	fileMode   = 0o600
	folderMode = 0o700
	// lockTimeout makes a second process that opens the same data folder fail instead of waiting.
	lockTimeout = time.Second
)

// Kind classifies an error of this package.
type Kind string

// Kinds of errors.
const (
	KindOpen  Kind = "open"
	KindRead  Kind = "read"
	KindWrite Kind = "write"
)

// Error is the error type of this package, with the operation, the kind and the cause.
type Error struct {
	Op    string
	Kind  Kind
	cause error
}

// Error returns the operation, the kind and the cause as text.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// Config holds the settings of a Store.
type Config struct {
	Path string
}

// Op is one write operation. A nil Value deletes the key.
type Op struct {
	Bucket string
	Key    []byte
	Value  []byte
}

// Store is a key-value store in a bbolt file. After a failed write it rejects all further writes, because the state on
// disk is unknown.
type Store struct {
	db       *bbolt.DB
	writeErr error
}

// Open opens the file, and creates it and its folder if needed.
func Open(config Config) (*Store, error) {
	if err := os.MkdirAll(filepath.Dir(config.Path), folderMode); err != nil {
		return nil, &Error{Op: "open store", Kind: KindOpen, cause: eris.Wrap(err, "create folder")}
	}
	db, err := bbolt.Open(config.Path, fileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, &Error{Op: "open store", Kind: KindOpen, cause: eris.Wrap(err, "open file")}
	}
	if err := syncFolder(filepath.Dir(config.Path)); err != nil {
		return nil, errors.Join(&Error{Op: "open store", Kind: KindOpen, cause: eris.Wrap(err, "sync folder")}, db.Close())
	}
	return &Store{db: db}, nil
}

// syncFolder makes the directory entry of a new file durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// Write applies all operations in one synced transaction. It must not be called concurrently.
func (s *Store) Write(ops ...Op) error {
	if s.writeErr != nil {
		return &Error{Op: "write", Kind: KindWrite, cause: eris.Wrap(s.writeErr, "an earlier write failed")}
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		for _, op := range ops {
			if err := applyOp(tx, op); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		s.writeErr = err
		return &Error{Op: "write", Kind: KindWrite, cause: eris.Wrap(err, "commit transaction")}
	}
	return nil
}

func applyOp(tx *bbolt.Tx, op Op) error {
	bucket, err := tx.CreateBucketIfNotExists([]byte(op.Bucket))
	if err != nil {
		return err
	}
	if op.Value == nil {
		return bucket.Delete(op.Key)
	}
	return bucket.Put(op.Key, op.Value)
}

// Read returns a copy of the value of a key, or nil if the key does not exist.
func (s *Store) Read(bucket string, key []byte) ([]byte, error) {
	var value []byte
	err := s.db.View(func(tx *bbolt.Tx) error {
		if b := tx.Bucket([]byte(bucket)); b != nil {
			value = bytes.Clone(b.Get(key))
		}
		return nil
	})
	if err != nil {
		return nil, &Error{Op: "read", Kind: KindRead, cause: eris.Wrap(err, "view")}
	}
	return value, nil
}

// Scan calls visit for all keys of a bucket in byte order. The slices are valid only during the call.
func (s *Store) Scan(bucket string, visit func(key, value []byte) error) error {
	err := s.db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket([]byte(bucket))
		if b == nil {
			return nil
		}
		return b.ForEach(visit)
	})
	if err != nil {
		return &Error{Op: "scan", Kind: KindRead, cause: eris.Wrap(err, "view")}
	}
	return nil
}

// Close closes the file.
func (s *Store) Close() error {
	return s.db.Close()
}
