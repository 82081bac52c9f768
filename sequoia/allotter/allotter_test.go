package allotter

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

const testBytes = 32 << 20

// Guards against bodies that use more memory than there is, and against one caller or upstream that leaves none to
// others.
func TestLargeBodiesLeaveRoomForOthers(t *testing.T) {
	for name, test := range map[string]struct {
		holder func(name string) Holder
		share  float64
	}{"callers": {Caller, callerShare}, "upstreams": {Upstream, upstreamShare}} {
		t.Run(name, func(t *testing.T) {
			a := New(Config{Bytes: testBytes})
			const size = 1 << 20
			count := func(name string) (reserved int64) {
				for a.Reserve(test.holder(name)).Grow(size) {
					reserved += size
				}
				return reserved
			}
			assert.Equal(t, count("faulty"), int64(test.share*testBytes)/size*size)
			assert.Equal(t, count("sound") > 0, true)
			for _, other := range []string{"a", "b", "c", "d"} {
				count(other)
			}
			assert.Equal(t, a.Used(), int64(largeShare*testBytes))
			small := 0
			for a.Reserve(test.holder("small")).Grow(SmallBytes) {
				small++
			}
			assert.Equal(t, small, int((1-largeShare)*testBytes)/SmallBytes)
			assert.Equal(t, a.Used(), int64(testBytes))
		})
	}
}

// Guards against memory that stays reserved after its body is gone.
func TestReleasedMemoryIsFree(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	a := New(Config{Bytes: testBytes})
	holders := []Holder{Caller("a"), Caller("b"), Upstream("a"), Upstream("b")}
	var all []*Reservation
	for range 10_000 {
		if len(all) > 0 && random.IntN(2) == 0 {
			i := random.IntN(len(all))
			all[i].Release()
			all[i].Release()
			all = append(all[:i], all[i+1:]...)
			continue
		}
		r := a.Reserve(holders[random.IntN(len(holders))])
		r.Grow(random.Int64N(2 * SmallBytes))
		r.Grow(random.Int64N(4 << 20))
		all = append(all, r)
		assert.Assert(t, a.Used() <= testBytes)
	}
	for _, r := range all {
		r.Release()
	}
	assert.Equal(t, a.Used(), int64(0))
	assert.Equal(t, a.largeUsed, int64(0))
	assert.Equal(t, len(a.holders), 0)
}

// Guards against a body that is cut short or counts as whole although it was, and against one that is kept beyond its
// limit or the memory.
func TestBodyIsReadWhole(t *testing.T) {
	const limit = 100_000
	errBroken := errors.New("broken")
	for name, test := range map[string]struct {
		body   io.Reader
		length int64
		read   int
		err    error
	}{
		"empty":             {strings.NewReader(""), 0, 0, nil},
		"empty, unknown":    {strings.NewReader(""), -1, 0, nil},
		"known":             {bytes.NewReader(make([]byte, 50_000)), 50_000, 50_000, nil},
		"known, one byte":   {iotest.OneByteReader(bytes.NewReader(make([]byte, 500))), 500, 500, nil},
		"unknown":           {bytes.NewReader(make([]byte, 50_000)), -1, 50_000, nil},
		"unknown, limit":    {bytes.NewReader(make([]byte, limit)), -1, limit, nil},
		"known, limit":      {bytes.NewReader(make([]byte, limit)), limit, limit, nil},
		"known, too large":  {bytes.NewReader(make([]byte, limit+1)), limit + 1, 0, readError(KindTooLarge)},
		"unknown, too long": {bytes.NewReader(make([]byte, limit+1)), -1, limit + 1, readError(KindTooLarge)},
		"truncated":         {io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, 3, io.ErrUnexpectedEOF},
		"broken":            {io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(errBroken)), 10, 3, errBroken},
		"end with the data": {iotest.DataErrReader(strings.NewReader("abc")), 3, 3, nil},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(Config{Bytes: testBytes}).Reserve(Caller("a"))
			body, err := r.ReadAll(test.body, test.length, limit)
			assert.Equal(t, fmt.Sprint(err), fmt.Sprint(test.err))
			assert.Equal(t, len(body), test.read)
		})
	}
	full := New(Config{Bytes: testBytes})
	for full.Reserve(Caller("a")).Grow(SmallBytes + 1) {
	}
	body, err := full.Reserve(Caller("a")).ReadAll(bytes.NewReader(make([]byte, limit)), -1, limit)
	assert.ErrorContains(t, err, string(KindNoMemory))
	assert.Assert(t, len(body) > 0 && len(body) <= SmallBytes)
}
