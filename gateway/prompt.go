package main

import (
	"crypto/sha256"
	"encoding/json"
	"hash/fnv"
	"strings"

	"sequoiaspread.example/sequoia/router"
)

// bytesPerToken is the estimate for texts that are not split into words.
const bytesPerToken = 4

// chatMessage is one message of a prompt. The content is a string or an array of parts.
type chatMessage struct {
	Content json.RawMessage `json:"content"`
}

// setPrompt derives the data that routing needs from the prompt: its fingerprint, its length and the digests of its
// prefixes. The prefix digests are those of the engines' cache events: running FNV-1a digests over the words of the
// prompt.
func (req *callerRequest) setPrompt(messages json.RawMessage) {
	digest := sha256.New()
	_, _ = digest.Write([]byte(req.model))
	_, _ = digest.Write(messages)
	copy(req.fingerprint[:], digest.Sum(nil))
	words := promptWords(messages)
	req.promptTokens = max(1, len(words))
	req.prefix = prefixDigests(words)
}

func promptWords(messages json.RawMessage) []string {
	var list []chatMessage
	if json.Unmarshal(messages, &list) != nil {
		return nil
	}
	var words []string
	for _, message := range list {
		var text string
		if json.Unmarshal(message.Content, &text) != nil {
			text = string(message.Content)
		}
		words = append(words, strings.Fields(text)...)
	}
	return words
}

func prefixDigests(words []string) []router.Digest {
	digest := fnv.New64a()
	var prefixes []router.Digest
	for i, word := range words {
		_, _ = digest.Write([]byte(word))
		_, _ = digest.Write([]byte{0})
		if (i+1)%router.BlockTokens == 0 {
			prefixes = append(prefixes, router.Digest(digest.Sum64()))
		}
	}
	return prefixes
}
