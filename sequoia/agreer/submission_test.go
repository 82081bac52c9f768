package agreer

import (
	"testing"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/replicator"
)

// Guards against a submission that waits for an entry of an earlier term, which another leader may have overwritten.
func TestSubmissionsJoinOnlyEntriesOfTheirTerm(t *testing.T) {
	channel := func() chan result[int] { return make(chan result[int], 1) }
	w := newWaiting[int]()
	first, second, third := channel(), channel(), channel()
	assert.Assert(t, !w.join("k", 4, first))
	w.propose(1, "k", first)
	assert.Assert(t, w.join("k", 4, second), "it is proposed in the same batch")
	w.append(replicator.Proposed{Ref: 1, Index: 9, Term: 4})
	assert.Assert(t, !w.join("k", 5, third), "the entry is of an earlier term")
	w.resolve(replicator.Entry{Index: 9, Term: 4}, 7)
	for _, done := range []chan result[int]{first, second} {
		assert.Equal(t, (<-done).outcome, 7)
	}
	assert.Assert(t, !w.join("k", 4, third), "it has an outcome")
	w.propose(2, "k", third)
	w.forgetKeys()
	assert.Assert(t, !w.join("k", 4, channel()), "the role has changed")
	w.endAll(result[int]{err: newProposeError(KindStopped, "stopping")})
	assert.ErrorContains(t, (<-third).err, "stopping")
}
