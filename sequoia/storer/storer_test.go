package storer

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against losing a write when the file is reopened, and against two processes sharing one data folder.
func TestWriteSurvivesReopen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data", "state.db")
	store, err := Open(Config{Path: path})
	assert.NilError(t, err)
	assert.NilError(t, store.Write(Op{"b", []byte("k"), []byte("v")}, Op{"b", []byte("l"), []byte("w")}))
	assert.NilError(t, store.Write(Op{"b", []byte("l"), nil}))
	_, err = Open(Config{Path: path})
	assert.ErrorContains(t, err, "open")
	assert.NilError(t, store.Close())
	store, err = Open(Config{Path: path})
	assert.NilError(t, err)
	count := 0
	assert.NilError(t, store.Scan("b", func(_, _ []byte) error { count++; return nil }))
	assert.Equal(t, count, 1)
	value, err := store.Read("b", []byte("k"))
	assert.NilError(t, err)
	assert.Equal(t, string(value), "v")
	assert.NilError(t, store.Close())
}

// Guards against acknowledging a write after an earlier disk failure.
func TestFailedWriteBlocksLaterWrites(t *testing.T) {
	store, err := Open(Config{Path: filepath.Join(t.TempDir(), "state.db")})
	assert.NilError(t, err)
	assert.ErrorContains(t, store.Write(Op{"", []byte("k"), []byte("v")}), "write")
	assert.ErrorContains(t, store.Write(Op{"b", []byte("k"), []byte("v")}), "earlier write failed")
	assert.NilError(t, store.Close())
}
