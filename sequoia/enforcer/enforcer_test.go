package enforcer

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

func TestMatrix(t *testing.T) {
	t.Run("configuration/enforce/hang-and-resume", testStaleResponsesAreIgnored)
	t.Run("configuration/enforce/two-texts", testConflictingTexts)
}

// Guards against a process that resumes after a hang enforcing an old version, because responses to its old polls
// arrive after newer ones.
func testStaleResponsesAreIgnored(t *testing.T) {
	e := New(Config{})
	for _, response := range []struct {
		version uint64
		updated bool
	}{{3, true}, {5, true}, {4, false}, {1, false}, {0, false}, {5, false}, {6, true}} {
		before := e.Current().Version
		updated, err := e.Offer(Document{Version: response.version, Text: []byte{byte(response.version)}})
		assert.NilError(t, err)
		assert.Equal(t, updated, response.updated)
		assert.Equal(t, e.Current().Version, max(before, response.version))
	}
}

// Guards against two documents with one version number being enforced undetected.
func testConflictingTexts(t *testing.T) {
	e := New(Config{})
	text := []byte("first")
	_, err := e.Offer(Document{Version: 2, Text: text})
	assert.NilError(t, err)
	text[0] = 'x'
	_, err = e.Offer(Document{Version: 2, Text: []byte("other")})
	var failure *Error
	assert.Assert(t, errors.As(err, &failure) && failure.Kind == KindDocumentsDiffer)
	assert.Equal(t, string(e.Current().Text), "first")
}
