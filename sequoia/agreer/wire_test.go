package agreer

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/replicator"
)

var testTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// FuzzDecodeMessages guards against a message of another process that makes a controller panic: each message that the
// decoder accepts is also passed to a member.
func FuzzDecodeMessages(f *testing.F) {
	head := replicator.Header{From: "d", To: "a", Term: 2}
	membership := replicator.Membership{Voters: []replicator.MemberID{"a", "b", "c"}}
	for _, message := range []replicator.PeerMessage{
		replicator.VoteRequest{Header: head, LastIndex: 3, LastTerm: 2},
		replicator.VoteReply{Header: head, Granted: true},
		replicator.AppendRequest{Header: head, PrevIndex: 1, PrevTerm: 1, Commit: 2, Entries: []replicator.Entry{{Index: 2, Term: 2, Kind: replicator.EntryNoOp}}},
		replicator.AppendReply{Header: head, MatchIndex: 3},
		replicator.InstallSnapshot{Header: head, Snapshot: replicator.Snapshot{Index: 9, Term: 2, Membership: membership}},
		replicator.TimeoutNow{Header: head},
	} {
		encoded, err := encodeMessage(message)
		assert.NilError(f, err)
		params, err := json.Marshal(replicateParams{Messages: []wireMessage{encoded}})
		assert.NilError(f, err)
		f.Add(params)
	}
	f.Fuzz(func(t *testing.T, params []byte) {
		messages, _, err := decodeMessages(params)
		var refused *messenger.RemoteError
		assert.Assert(t, err == nil || errors.As(err, &refused))
		for _, member := range []*replicator.Replicator{fuzzMember(t, "a", "b", "c"), fuzzMember(t, "a")} {
			for _, message := range messages {
				member.Step(testTime.Add(time.Hour), message)
				member.Tick(testTime.Add(time.Hour))
			}
		}
	})
}

// fuzzMember returns a member that is a pre-candidate, or the leader when it is the only voter.
func fuzzMember(t *testing.T, voters ...replicator.MemberID) *replicator.Replicator {
	t.Helper()
	membership := replicator.Membership{Voters: voters, Learners: []replicator.MemberID{"d"}}
	member, err := replicator.New(replicator.Config{ID: "a"}, replicator.DurableState{
		State: replicator.HardState{Term: 1, Commit: 1}, Snapshot: replicator.Snapshot{Index: 1, Term: 1, Membership: membership},
	})
	assert.NilError(t, err)
	member.Tick(testTime)
	member.Tick(testTime.Add(time.Hour))
	return member
}
