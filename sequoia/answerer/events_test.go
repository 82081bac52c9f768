package answerer

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// readEvents reads a stream to its end; err is nil if it ended between events.
func readEvents(stream io.Reader) (text string, ids []string, err error) {
	events := newEventReader(stream)
	for {
		next, err := events.next()
		if errors.Is(err, io.EOF) {
			return text, ids, nil
		}
		if err != nil {
			return text, ids, err
		}
		text += string(next.data)
		if next.id != "" {
			ids = append(ids, next.id)
		}
	}
}

// Guards against a line that fills the read buffer exactly being taken for the end of its event, so that a stream that
// was broken off there looks complete.
func TestStreamCutAfterLongLineIsBroken(t *testing.T) {
	for _, length := range []int{eventBufferSize - 1, eventBufferSize, eventBufferSize + 1, 2 * eventBufferSize} {
		line := "data: " + strings.Repeat("x", length-len("data: ")) + "\n"
		text, _, err := readEvents(strings.NewReader(line))
		assert.Assert(t, err != nil, "a stream that ends after a line of %d bytes looks complete", length)
		assert.Equal(t, text, "")
		whole := "id: 1\n" + line + "\n"
		text, _, err = readEvents(strings.NewReader(whole))
		assert.NilError(t, err)
		assert.Equal(t, text, whole)
	}
}

// Guards against data inside a long line being read as the ID to resume from.
func TestLongLineHoldsNoEventID(t *testing.T) {
	line := "data: " + strings.Repeat("x", eventBufferSize-len("data: ")) + "id: 99\n"
	_, ids, err := readEvents(strings.NewReader("id: 1\n" + line + "\n"))
	assert.NilError(t, err)
	assert.DeepEqual(t, ids, []string{"1"})
}

// Guards against processor time that grows with the square of the number of empty lines before an event.
func TestEmptyLinesWithoutEndAreReadInLinearTime(t *testing.T) {
	began := time.Now()
	_, _, err := readEvents(strings.NewReader(strings.Repeat("\n", maxEventBytes+1)))
	assert.Assert(t, err != nil)
	assert.Assert(t, time.Since(began) < time.Second, "%v", time.Since(began))
}

// Guards against empty lines after the last event making a complete stream look broken, and against losing them.
func TestStreamWithEmptyLinesAtItsEndIsComplete(t *testing.T) {
	const whole = "id: 1\ndata: a\n\n\r\n\n"
	text, ids, err := readEvents(strings.NewReader(whole))
	assert.NilError(t, err)
	assert.Equal(t, text, whole)
	assert.DeepEqual(t, ids, []string{"1"})
}
