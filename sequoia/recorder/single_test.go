package recorder

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
)

// singleMember is the only member of its view, with its disk.
type singleMember struct {
	member  *Recorder
	config  Config
	disk    *node
	attempt int
}

func newSingleMember(config Config) *singleMember {
	config.MemberID, config.Zone, config.Initial = "a#1", testZone, true
	s := &singleMember{config: config, disk: &node{entries: map[string]Entry{}}}
	s.member = New(config)
	s.applyEffects(s.member.Step(testStart, Install{View: View{Zone: testZone, Number: 1, Epoch: 1, Primary: "a#1", Members: []string{"a#1"}}}))
	s.applyEffects(s.member.Tick(testStart))
	return s
}

// applyEffects stores the entries of Persist effects and returns the reply, if any.
func (s *singleMember) applyEffects(effects []Effect) Reply {
	var reply Reply
	for _, effect := range effects {
		switch e := effect.(type) {
		case Persist:
			(&simulation{trace: func(string) {}}).persist(s.disk, e)
		case Respond:
			reply = e.Reply
		}
	}
	return reply
}

func (s *singleMember) restart() {
	s.config.Restored = State{Meta: s.disk.meta}
	for _, entry := range s.disk.entries {
		s.config.Restored.Entries = append(s.config.Restored.Entries, entry)
	}
	s.member = New(s.config)
}

func (s *singleMember) submit(now time.Time, request Request) Reply {
	return s.applyEffects(s.member.Step(now, Call{Token: 1, Request: request}))
}

func (s *singleMember) tickBetween(from, to time.Time, every time.Duration) {
	for now := from; now.Before(to); now = now.Add(every) {
		s.applyEffects(s.member.Tick(now))
	}
}

func (s *singleMember) begin(now time.Time, key string) Reply {
	s.attempt++
	return s.submit(now, Begin{Zone: testZone, Organisation: "guild", Key: key, Digest: "d", Service: "partsdesk", Attempt: fmt.Sprint(s.attempt)})
}

func timedKey(at time.Time) string {
	id := uuid.UUID{}
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, byte(at.Nanosecond())
	return id.String()
}

// Guards against refusing key numbers of a session that arrive out of order, and against executing an old one.
func TestSessionWindow(t *testing.T) {
	s := newSingleMember(Config{})
	opened := s.submit(testStart, Session{Zone: testZone, Organisation: "guild"})
	assert.Equal(t, opened.Outcome, OutcomeOpened)
	number := func(n int) Outcome { return s.begin(testStart, fmt.Sprintf("%s.%d", opened.Session, n)).Outcome }
	assert.Equal(t, number(2), OutcomeGranted)
	assert.Equal(t, number(1), OutcomeGranted)
	assert.Equal(t, number(1), OutcomePending)
	assert.Equal(t, number(100), OutcomeGranted)
	assert.Equal(t, number(36), OutcomeExpired)
	assert.Equal(t, number(37), OutcomeGranted)
	assert.Equal(t, number(2), OutcomePending, "the number is below the window but has a record")
	s.restart()
	assert.Equal(t, number(36), OutcomeExpired)
	assert.Equal(t, number(38), OutcomeGranted)
	zone, ok := SessionKeyZone(opened.Session + ".1")
	assert.Assert(t, ok && zone == testZone)
	other := s.submit(testStart, Begin{Zone: testZone, Organisation: "other", Key: opened.Session + ".5", Attempt: "x"})
	assert.Equal(t, other.Outcome, OutcomeExpired, "a session belongs to one organisation")
	assert.Equal(t, s.begin(testStart.Add(25*time.Hour), opened.Session+".101").Outcome, OutcomeExpired)
	assert.Equal(t, s.begin(testStart, testZone+".1.none.1").Outcome, OutcomeExpired)
}

// Guards against replies that contradict the record.
func TestOutcomes(t *testing.T) {
	s := newSingleMember(Config{MaxOpaqueKeys: 3})
	permit := s.begin(testStart, "k1").Permit
	resent := s.submit(testStart, Begin{Zone: testZone, Organisation: "guild", Key: "k1", Digest: "d", Service: "partsdesk", Attempt: "1"})
	assert.DeepEqual(t, resent.Permit, permit)
	late := testStart.Add(2 * time.Minute)
	conflict := s.submit(testStart, Begin{Zone: testZone, Organisation: "guild", Key: "k1", Digest: "other", Service: "partsdesk", Attempt: "9"})
	assert.Equal(t, conflict.Outcome, OutcomeConflict)
	assert.Equal(t, s.begin(late, "k1").Outcome, OutcomeUnknown)
	assert.Equal(t, s.submit(late, Release{Zone: testZone, Organisation: "guild", Key: "k1", Attempt: "2"}).Outcome, OutcomeNotHolder)
	other := permit
	other.Attempt = "2"
	assert.Equal(t, s.submit(late, other.Finish(ResultAnswered, Response{})).Outcome, OutcomeNotHolder)
	assert.Equal(t, s.submit(late, permit.Finish(ResultUnknown, Response{})).Outcome, OutcomeDone)
	assert.Equal(t, s.submit(late, permit.Release()).Outcome, OutcomeNotHolder)
	assert.Equal(t, s.submit(late, permit.Finish(ResultAnswered, Response{Status: 201, Body: []byte("late")})).Outcome, OutcomeDone)
	assert.Equal(t, s.submit(late, permit.Finish(ResultAnswered, Response{Status: 500})).Outcome, OutcomeDone)
	assert.Equal(t, string(s.begin(late, "k1").Answer.Body), "late")
	large := s.begin(late, "k2").Permit
	s.submit(late, large.Finish(ResultAnswered, Response{Status: 201, Body: make([]byte, maxRecordedBodyBytes+1)}))
	assert.DeepEqual(t, s.begin(late, "k2").Answer, Response{Status: 201, Omitted: true})
	released := s.begin(late, "k3").Permit
	assert.Equal(t, s.submit(late, released.Release()).Outcome, OutcomeDone)
	assert.Equal(t, s.submit(late, Lookup{Zone: testZone, Organisation: "guild", Key: "k3"}).Outcome, OutcomeAbsent)
	assert.Equal(t, s.submit(late, Begin{Zone: testZone, Organisation: "guild", Key: "k3", Digest: "d", Service: "partsdesk", Attempt: released.Attempt}).Outcome, OutcomeRefused)
	assert.Equal(t, s.begin(late, "k3").Outcome, OutcomeGranted)
	assert.Equal(t, s.begin(late, "k4").Hint, hintOpaqueKeyLimit)
	assert.Equal(t, s.begin(late, "two words").Hint, hintInvalidKey)
	assert.Equal(t, s.begin(testStart, timedKey(testStart.Add(61*time.Second))).Hint, hintFutureKey)
	assert.Equal(t, s.begin(testStart, timedKey(testStart.Add(59*time.Second))).Outcome, OutcomeGranted)
	assert.Equal(t, s.submit(late, Begin{Zone: "alex-a", Key: "k"}).Outcome, OutcomeNotPrimary)
}

// Guards against executing a late resend again because its record was dropped, with a clock that steps in either
// direction.
func matrixExpiry(t *testing.T) {
	for name, step := range map[string]time.Duration{"none": 0, "clock-step-ahead": 40 * 24 * time.Hour, "clock-step-back": -40 * 24 * time.Hour} {
		t.Run("at-most-once/resend-after-retention/"+name, func(t *testing.T) {
			s := newSingleMember(Config{})
			session := s.submit(testStart, Session{Zone: testZone, Organisation: "guild"}).Session
			keys := []string{"opaque", timedKey(testStart), session + ".1"}
			for _, key := range keys {
				assert.Equal(t, s.begin(testStart, key).Outcome, OutcomeGranted)
			}
			day := testStart.Add(24 * time.Hour)
			s.tickBetween(testStart, day, time.Minute)
			s.tickBetween(day.Add(step), day.Add(step+time.Hour), time.Minute)
			for _, key := range keys {
				assert.Equal(t, s.begin(day.Add(time.Hour), key).Outcome, OutcomeUnknown, "a clock step must not drop a record")
			}
			end := testStart.Add(9 * 24 * time.Hour)
			s.tickBetween(day, end, time.Minute)
			for _, restart := range []bool{true, false} {
				records, sessions, opaqueKeys := s.member.Size()
				assert.DeepEqual(t, []int{records, sessions, opaqueKeys}, []int{0, 0, 1})
				for _, key := range keys {
					assert.Equal(t, s.begin(testStart, key).Outcome, OutcomeExpired, "%s", key)
					assert.Equal(t, s.begin(end, key).Outcome, OutcomeExpired, "%s", key)
				}
				if restart {
					s.restart()
				}
			}
		})
	}
}

// Guards against executing a key whose record may have been lost with the members of an earlier epoch.
func matrixEpoch(t *testing.T) {
	t.Run("at-most-once/resend-after-new-epoch/all-disks-lost", func(t *testing.T) {
		start := testStart.Add(time.Hour)
		released := &Record{Organisation: "guild", Key: "released", Digest: "d", Service: "partsdesk", State: StateReleased, Epoch: 1, Created: testStart}
		s := newSingleMember(Config{})
		granted := &Record{Organisation: "guild", Key: "granted", Digest: "d", Service: "partsdesk", Attempt: "1", State: StateGranted, Epoch: 1, Created: start, Granted: start}
		s.disk.entries["g"] = Entry{ID: recordID("guild", "granted"), Seq: 2, Record: granted}
		s.disk.entries["r"] = Entry{ID: recordID("guild", "released"), Seq: 1, Record: released}
		s.disk.meta = Meta{View: View{Zone: testZone, Number: 4, Epoch: 1, Primary: "b#1", Members: []string{"b#1"}}}
		s.restart()
		s.applyEffects(s.member.Step(start, Install{View: View{Zone: testZone, Number: 5, Epoch: 2, EpochStart: start, Primary: "a#1", Members: []string{"a#1"}}}))
		assert.Equal(t, s.begin(start, "granted").Outcome, OutcomeUnknown, "the outcome is unknown even for attempt 1, which held the permit")
		for key, want := range map[string]Outcome{
			"released": OutcomeUnknown, "opaque": OutcomeUnknown, testZone + ".1.s.1": OutcomeUnknown,
			timedKey(testStart): OutcomeUnknown, timedKey(start.Add(119 * time.Second)): OutcomeUnknown,
			timedKey(start.Add(121 * time.Second)): OutcomeGranted, "alex-a.1.s.1": OutcomeUnknown,
		} {
			assert.Equal(t, s.begin(start.Add(2*time.Minute), key).Outcome, want, "%s", key)
		}
	})
}

// Guards against a member that applies entries of a primary whose view has ended, or entries that were sent to a
// previous incarnation of the member.
func TestStaleReplicateIsIgnored(t *testing.T) {
	member := New(Config{MemberID: "b#2", Zone: testZone})
	view := View{Zone: testZone, Number: 5, Epoch: 1, Primary: "a#1", Members: []string{"a#1", "b#2"}}
	accepted := Replicate{View: view, From: "a#1", To: "b#2", Term: 5}
	assert.Assert(t, len(member.Step(testStart, accepted)) > 0)
	for _, change := range []func(m *Replicate){
		func(m *Replicate) { m.View.Number = 4 },
		func(m *Replicate) { m.To = "b#1" },
		func(m *Replicate) { m.From = "c#1" },
		func(m *Replicate) { m.View.Zone = "alex-a" },
		func(m *Replicate) { m.Through, m.Entries = 1, []Entry{{ID: watermarkID, Seq: 1}} },
		func(m *Replicate) { m.Entries = []Entry{{ID: watermarkID, Seq: 1, LowWatermark: &LowWatermark{}}} },
	} {
		refused := accepted
		change(&refused)
		assert.Equal(t, len(member.Step(testStart, refused)), 0)
	}
}

// Guards against a table that grows without bound.
func TestLimits(t *testing.T) {
	s := newSingleMember(Config{MaxRecords: 2, MaxSessions: 1})
	session := Session{Zone: testZone, Organisation: "guild"}
	assert.Equal(t, s.submit(testStart, session).Outcome, OutcomeOpened)
	assert.Equal(t, s.submit(testStart, session).Hint, hintSessionLimit)
	assert.Equal(t, s.begin(testStart, timedKey(testStart)).Outcome, OutcomeGranted)
	assert.Equal(t, s.begin(testStart, timedKey(testStart.Add(time.Millisecond))).Outcome, OutcomeGranted)
	assert.Equal(t, s.begin(testStart, timedKey(testStart.Add(time.Second))).Hint, hintRecordLimit)
	s = newSingleMember(Config{MaxResponseBytes: 100})
	s.submit(testStart, s.begin(testStart, "a").Permit.Finish(ResultAnswered, Response{Body: make([]byte, 100)}))
	assert.Equal(t, s.begin(testStart, "b").Hint, hintRecordLimit)
}

// Guards against an availability zone that never gets a first view, also when the member restarts after it proposed
// one.
func TestFirstViewOfNewZone(t *testing.T) {
	s := &singleMember{config: Config{MemberID: "a#1", Zone: testZone}, disk: &node{entries: map[string]Entry{}}}
	s.restart()
	s.applyEffects(s.member.Step(testStart, Install{}))
	effects := s.member.Tick(testStart)
	s.applyEffects(effects)
	first := View{Zone: testZone, Number: 1, Epoch: 1, Primary: "a#1", Members: []string{"a#1"}}
	assert.DeepEqual(t, effects[len(effects)-1], Effect(Propose{View: first}))
	s.restart()
	s.applyEffects(s.member.Step(testStart, Install{View: first}))
	assert.Equal(t, s.begin(testStart, "key").Outcome, OutcomeGranted)
}

// Guards against a member that acts as the primary without the records of the view, for example with an empty records
// file.
func TestMemberWithoutRecordsIsNotPrimary(t *testing.T) {
	s := &singleMember{config: Config{MemberID: "a#1", Zone: testZone}, disk: &node{entries: map[string]Entry{}}}
	s.restart()
	s.applyEffects(s.member.Step(testStart, Install{View: View{Zone: testZone, Number: 1, Epoch: 1, Primary: "a#1", Members: []string{"a#1"}}}))
	assert.Equal(t, s.begin(testStart, "key").Outcome, OutcomeNotPrimary)
}

// Guards against granting a permit to an attempt that was released while its record was still being replicated.
func TestReleaseBeforeGrantIsReplicated(t *testing.T) {
	view := View{Zone: testZone, Number: 1, Epoch: 1, Primary: "a#1", Members: []string{"a#1", "b#1"}}
	member := New(Config{MemberID: "a#1", Zone: testZone, Initial: true})
	member.Step(testStart, Install{View: view})
	begin := Begin{Zone: testZone, Organisation: "guild", Key: "key", Attempt: "1"}
	member.Step(testStart, Call{Token: 1, Request: begin})
	member.Step(testStart, Call{Token: 2, Request: begin.Release()})
	effects := member.Step(testStart, Ack{View: 1, From: "b#1", To: "a#1", Term: 1, Applied: 2})
	assert.DeepEqual(t, effects, []Effect{
		Respond{Token: 1, Reply: Reply{Outcome: OutcomeUnavailable, View: view, Retry: time.Second}},
		Respond{Token: 2, Reply: Reply{Outcome: OutcomeDone, View: view}},
	})
}

// Guards against a malformed message of a peer that crashes the member.
func FuzzReplicate(f *testing.F) {
	f.Add([]byte(`{"view":{"zone":"cairo-a","number":5,"primary":"b#1"},"from":"b#1","to":"a#1","through":1,"entries":[{"id":"floor","seq":1,"floor":{}}]}`))
	f.Add([]byte(`{"view":{"zone":"cairo-a","number":5,"primary":"b#1"},"from":"b#1","to":"a#1","through":1,"entries":[{"id":"record/5/guild/key","seq":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var message Replicate
		if json.Unmarshal(data, &message) != nil {
			return
		}
		s := newSingleMember(Config{})
		s.applyEffects(s.member.Step(testStart, message))
		s.restart()
		assert.Assert(t, s.begin(testStart, "key").Outcome != "")
	})
}
