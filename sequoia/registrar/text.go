package registrar

import (
	"bytes"
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

const (
	// maxDocumentBytes limits the memory that one document occupies as text.
	maxDocumentBytes = 32 << 20
	// maxCompressedBytes limits the memory that a proposal of a document occupies: with the log and the messages to two other
	// members it takes over 30 times its size, and a message of 16 MiB holds less than 9 MiB of it.
	maxCompressedBytes = 6 << 20
	// compressionWindow is the distance in bytes over which repetitions are found; it also bounds the encoder's memory.
	compressionWindow = 1 << 20
)

// compressedPrefix marks compressed text. No document in a text format starts with these bytes, so a document that was
// stored as plain text is recognised.
var compressedPrefix = []byte{0x28, 0xb5, 0x2f, 0xfd}

// encoder and decoder are safe for concurrent use.
var encoder = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(compressionWindow), zstd.WithLowerEncoderMem(true))
})

var decoder = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDocumentBytes))
})

// NewPut returns the submission of a document, compressed for the log, the disks and the transfers to entry VMs.
func NewPut(version uint64, text []byte) (*Put, error) {
	if len(text) > maxDocumentBytes {
		return nil, &Error{Op: "compress document", Kind: KindInvalidCommand, cause: eris.Errorf("%d bytes exceed the limit", len(text))}
	}
	e, err := encoder()
	if err != nil {
		return nil, &Error{Op: "compress document", Kind: KindInvalidCommand, cause: eris.Wrap(err, "create encoder")}
	}
	compressed := e.EncodeAll(text, nil)
	if len(compressed) > maxCompressedBytes {
		return nil, &Error{Op: "compress document", Kind: KindInvalidCommand, cause: eris.Errorf("%d compressed bytes exceed the limit", len(compressed))}
	}
	return &Put{Version: version, Text: compressed}, nil
}

// Document returns the text of the document.
func (s State) Document() ([]byte, error) {
	if !bytes.HasPrefix(s.Text, compressedPrefix) {
		return s.Text, nil
	}
	d, err := decoder()
	if err != nil {
		return nil, &Error{Op: "decompress document", Kind: KindInvalidSnapshot, cause: eris.Wrap(err, "create decoder")}
	}
	text, err := d.DecodeAll(s.Text, nil)
	if err != nil {
		return nil, &Error{Op: "decompress document", Kind: KindInvalidSnapshot, cause: eris.Wrap(err, "decode")}
	}
	return text, nil
}
