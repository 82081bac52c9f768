package registrar

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a document that differs from what was submitted, and against one that was stored as plain text before
// documents were compressed and cannot be read any more.
func TestDocumentIsReadAsSubmitted(t *testing.T) {
	for name, text := range map[string][]byte{
		"empty": {}, "short": []byte("{}"), "repeated": bytes.Repeat([]byte("route "), 100_000), "compressed before": compressedPrefix,
	} {
		t.Run(name, func(t *testing.T) {
			put, err := NewPut(3, text)
			assert.NilError(t, err)
			r := New()
			r.Apply(Command{ID: "a", Put: put})
			read, err := r.State().Document()
			assert.NilError(t, err)
			assert.Equal(t, string(read), string(text))
		})
	}
	plain, err := State{Version: 3, Text: []byte(`{"version":3}`)}.Document()
	assert.NilError(t, err)
	assert.Equal(t, string(plain), `{"version":3}`)
}

// Guards against a small submission that occupies any amount of memory once it is read.
func TestDocumentBeyondTheLimitIsRefused(t *testing.T) {
	_, err := NewPut(3, make([]byte, maxDocumentBytes+1))
	assert.ErrorContains(t, err, "exceed the limit")
	incompressible := make([]byte, 2*maxCompressedBytes)
	_, _ = rand.NewChaCha8([32]byte{}).Read(incompressible)
	_, err = NewPut(3, incompressible)
	assert.ErrorContains(t, err, "exceed the limit")
	e, err := encoder()
	assert.NilError(t, err)
	_, err = State{Text: e.EncodeAll(make([]byte, 4*maxDocumentBytes), nil)}.Document()
	assert.ErrorContains(t, err, "decompress document")
}

// FuzzDocument guards against compressed text that makes a process panic.
func FuzzDocument(f *testing.F) {
	put, err := NewPut(1, []byte("text"))
	assert.NilError(f, err)
	f.Add(put.Text)
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = State{Text: text}.Document()
	})
}
