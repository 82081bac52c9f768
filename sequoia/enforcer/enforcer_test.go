package enforcer

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

func TestMatrix(t *testing.T) {
	t.Run("configuration/enforce/hang-and-resume", testLateAnswers)
	t.Run("configuration/enforce/two-texts", testTwoTexts)
}

// Guards against a process that hung enforcing an old version when answers to its old polls arrive after newer ones.
func testLateAnswers(t *testing.T) {
	e := New(Config{})
	for _, answer := range []struct {
		version uint64
		raised  bool
	}{{3, true}, {5, true}, {4, false}, {1, false}, {0, false}, {5, false}, {6, true}} {
		before := e.Current().Version
		raised, err := e.Offer(Document{Version: answer.version, Text: []byte{byte(answer.version)}})
		assert.NilError(t, err)
		assert.Equal(t, raised, answer.raised)
		assert.Equal(t, e.Current().Version, max(before, answer.version))
	}
}

// Guards against two documents being in force under one number without anyone noticing.
func testTwoTexts(t *testing.T) {
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
