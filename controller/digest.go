package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"sequoiaspread.example/sequoia/parser"
)

// documentDigest returns the SHA-256 of a document's content, in hexadecimal. Stage and version are excluded because
// they change between the trial of a document and its promotion.
func documentDigest(document *parser.Document) string {
	content := *document
	content.Environment.Stage = ""
	content.Environment.Version = 0
	data, err := json.Marshal(content)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
