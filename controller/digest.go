package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"sequoiaspread.example/sequoia/parser"
)

// documentDigest identifies what a document asks for. Stage and version are left out: they change between the trial
// of a document and its promotion.
func documentDigest(document *parser.Document) string {
	plain := *document
	plain.Environment.Stage = ""
	plain.Environment.Version = 0
	data, err := json.Marshal(plain)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
