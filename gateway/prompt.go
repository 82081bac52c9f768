package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// bytesPerToken estimates tokens from text; the estimator corrects it by what it observes.
const bytesPerToken = 4

// setPrompt derives what routing needs from the prompt; the text itself is not kept apart from the body.
func (j *job) setPrompt(messages json.RawMessage) {
	digest := sha256.New()
	_, _ = digest.Write([]byte(j.model))
	_, _ = digest.Write(messages)
	j.fingerprint = hex.EncodeToString(digest.Sum(nil))
	j.promptTokens = max(1, len(messages)/bytesPerToken)
}
