package recorder

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
)

// single is a member that is alone in its view, with its disk.
type single struct {
	member  *Recorder
	config  Config
	disk    *node
	attempt int
}

func newSingle(config Config) *single {
	config.MemberID, config.Zone, config.Initial = "a#1", testZone, true
	s := &single{config: config, disk: &node{entries: map[string]Entry{}}}
	s.member = New(config)
	s.keep(s.member.Step(testStart, Install{View: View{Zone: testZone, Number: 1, Epoch: 1, Primary: "a#1", Members: []string{"a#1"}}}))
	s.keep(s.member.Tick(testStart))
	return s
}

// keep stores what is to be persisted and returns the reply, if any.
func (s *single) keep(effects []Effect) Reply {
	var reply Reply
	for _, effect := range effects {
		switch e := effect.(type) {
		case Persist:
			(&world{trace: func(string) {}}).persist(s.disk, e)
		case Respond:
			reply = e.Reply
		}
	}
	return reply
}

func (s *single) restart() {
	s.config.Restored = State{Meta: s.disk.meta}
	for _, entry := range s.disk.entries {
		s.config.Restored.Entries = append(s.config.Restored.Entries, entry)
	}
	s.member = New(s.config)
}

func (s *single) ask(now time.Time, request Request) Reply {
	return s.keep(s.member.Step(now, Call{Token: 1, Request: request}))
}

func (s *single) tick(from, to time.Time, every time.Duration) {
	for now := from; now.Before(to); now = now.Add(every) {
		s.keep(s.member.Tick(now))
	}
}

func (s *single) begin(now time.Time, key string) Reply {
	s.attempt++
	return s.ask(now, Begin{Zone: testZone, Organisation: "guild", Key: key, Digest: "d", Service: "partsdesk", Attempt: fmt.Sprint(s.attempt)})
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

// Guards against numbers of one session that arrive out of order being refused, or an old one being run.
func TestSessionWindow(t *testing.T) {
	s := newSingle(Config{})
	opened := s.ask(testStart, Session{Zone: testZone, Organisation: "guild"})
	assert.Equal(t, opened.Outcome, OutcomeOpened)
	number := func(n int) Outcome { return s.begin(testStart, fmt.Sprintf("%s.%d", opened.Session, n)).Outcome }
	assert.Equal(t, number(2), OutcomeGranted)
	assert.Equal(t, number(1), OutcomeGranted)
	assert.Equal(t, number(1), OutcomePending)
	assert.Equal(t, number(100), OutcomeGranted)
	assert.Equal(t, number(36), OutcomeExpired)
	assert.Equal(t, number(37), OutcomeGranted)
	assert.Equal(t, number(2), OutcomePending, "a number below the window that has a record")
	s.restart()
	assert.Equal(t, number(36), OutcomeExpired)
	assert.Equal(t, number(38), OutcomeGranted)
	zone, ok := SessionKeyZone(opened.Session + ".1")
	assert.Assert(t, ok && zone == testZone)
	other := s.ask(testStart, Begin{Zone: testZone, Organisation: "other", Key: opened.Session + ".5", Attempt: "x"})
	assert.Equal(t, other.Outcome, OutcomeExpired, "a session belongs to one organisation")
	assert.Equal(t, s.begin(testStart.Add(25*time.Hour), opened.Session+".101").Outcome, OutcomeExpired)
	assert.Equal(t, s.begin(testStart, testZone+".1.none.1").Outcome, OutcomeExpired)
}

// Guards against replies that differ from what the record says.
func TestOutcomes(t *testing.T) {
	s := newSingle(Config{MaxOpaqueKeys: 3})
	permit := s.begin(testStart, "k1").Permit
	resent := s.ask(testStart, Begin{Zone: testZone, Organisation: "guild", Key: "k1", Digest: "d", Service: "partsdesk", Attempt: "1"})
	assert.DeepEqual(t, resent.Permit, permit)
	late := testStart.Add(2 * time.Minute)
	conflict := s.ask(testStart, Begin{Zone: testZone, Organisation: "guild", Key: "k1", Digest: "other", Service: "partsdesk", Attempt: "9"})
	assert.Equal(t, conflict.Outcome, OutcomeConflict)
	assert.Equal(t, s.begin(late, "k1").Outcome, OutcomeUnknown)
	assert.Equal(t, s.ask(late, Release{Zone: testZone, Organisation: "guild", Key: "k1", Attempt: "2"}).Outcome, OutcomeNotHolder)
	other := permit
	other.Attempt = "2"
	assert.Equal(t, s.ask(late, other.Finish(ResultAnswered, Response{})).Outcome, OutcomeNotHolder)
	assert.Equal(t, s.ask(late, permit.Finish(ResultUnknown, Response{})).Outcome, OutcomeDone)
	assert.Equal(t, s.ask(late, permit.Release()).Outcome, OutcomeNotHolder)
	assert.Equal(t, s.ask(late, permit.Finish(ResultAnswered, Response{Status: 201, Body: []byte("late")})).Outcome, OutcomeDone)
	assert.Equal(t, s.ask(late, permit.Finish(ResultAnswered, Response{Status: 500})).Outcome, OutcomeDone)
	assert.Equal(t, string(s.begin(late, "k1").Answer.Body), "late")
	large := s.begin(late, "k2").Permit
	s.ask(late, large.Finish(ResultAnswered, Response{Status: 201, Body: make([]byte, maxAnswerBytes+1)}))
	assert.DeepEqual(t, s.begin(late, "k2").Answer, Response{Status: 201, Omitted: true})
	given := s.begin(late, "k3").Permit
	assert.Equal(t, s.ask(late, given.Release()).Outcome, OutcomeDone)
	assert.Equal(t, s.ask(late, Lookup{Zone: testZone, Organisation: "guild", Key: "k3"}).Outcome, OutcomeAbsent)
	assert.Equal(t, s.ask(late, Begin{Zone: testZone, Organisation: "guild", Key: "k3", Digest: "d", Service: "partsdesk", Attempt: given.Attempt}).Outcome, OutcomeRefused)
	assert.Equal(t, s.begin(late, "k3").Outcome, OutcomeGranted)
	assert.Equal(t, s.begin(late, "k4").Hint, hintSession)
	assert.Equal(t, s.begin(late, "two words").Hint, hintKey)
	assert.Equal(t, s.begin(testStart, timedKey(testStart.Add(61*time.Second))).Hint, hintDate)
	assert.Equal(t, s.begin(testStart, timedKey(testStart.Add(59*time.Second))).Outcome, OutcomeGranted)
	assert.Equal(t, s.ask(late, Begin{Zone: "alex-a", Key: "k"}).Outcome, OutcomeNotPrimary)
}

// Guards against a late resend that runs again because its record was dropped, with a clock that steps either way.
func matrixExpiry(t *testing.T) {
	for name, step := range map[string]time.Duration{"none": 0, "clock-step-ahead": 40 * 24 * time.Hour, "clock-step-back": -40 * 24 * time.Hour} {
		t.Run("at-most-once/resend-after-retention/"+name, func(t *testing.T) {
			s := newSingle(Config{})
			session := s.ask(testStart, Session{Zone: testZone, Organisation: "guild"}).Session
			keys := []string{"opaque", timedKey(testStart), session + ".1"}
			for _, key := range keys {
				assert.Equal(t, s.begin(testStart, key).Outcome, OutcomeGranted)
			}
			day := testStart.Add(24 * time.Hour)
			s.tick(testStart, day, time.Minute)
			s.tick(day.Add(step), day.Add(step+time.Hour), time.Minute)
			for _, key := range keys {
				assert.Equal(t, s.begin(day.Add(time.Hour), key).Outcome, OutcomeUnknown, "a step drops no record")
			}
			end := testStart.Add(9 * 24 * time.Hour)
			s.tick(day, end, time.Minute)
			for _, restart := range []bool{true, false} {
				records, sessions, permanent := s.member.Size()
				assert.DeepEqual(t, []int{records, sessions, permanent}, []int{0, 0, 1})
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

// Guards against running a key whose record may have been lost with the members of an earlier epoch.
func matrixEpoch(t *testing.T) {
	t.Run("at-most-once/resend-after-new-epoch/all-disks-lost", func(t *testing.T) {
		start := testStart.Add(time.Hour)
		released := &Record{Organisation: "guild", Key: "released", Digest: "d", Service: "partsdesk", State: StateReleased, Epoch: 1, Created: testStart}
		s := newSingle(Config{})
		granted := &Record{Organisation: "guild", Key: "granted", Digest: "d", Service: "partsdesk", Attempt: "1", State: StateGranted, Epoch: 1, Created: start, Granted: start}
		s.disk.entries["g"] = Entry{ID: recordID("guild", "granted"), Seq: 2, Record: granted}
		s.disk.entries["r"] = Entry{ID: recordID("guild", "released"), Seq: 1, Record: released}
		s.disk.meta = Meta{View: View{Zone: testZone, Number: 4, Epoch: 1, Primary: "b#1", Members: []string{"b#1"}}}
		s.restart()
		s.keep(s.member.Step(start, Install{View: View{Zone: testZone, Number: 5, Epoch: 2, EpochStart: start, Primary: "a#1", Members: []string{"a#1"}}}))
		assert.Equal(t, s.begin(start, "granted").Outcome, OutcomeUnknown, "also for attempt 1, which asks here")
		for key, want := range map[string]Outcome{
			"released": OutcomeUnknown, "opaque": OutcomeUnknown, testZone + ".1.s.1": OutcomeUnknown,
			timedKey(testStart): OutcomeUnknown, timedKey(start.Add(119 * time.Second)): OutcomeUnknown,
			timedKey(start.Add(121 * time.Second)): OutcomeGranted, "alex-a.1.s.1": OutcomeUnknown,
		} {
			assert.Equal(t, s.begin(start.Add(2*time.Minute), key).Outcome, want, "%s", key)
		}
	})
}

// Guards against a member that takes the records of a primary whose view has ended, or that were sent to its former self.
func TestCopyOfAnotherViewIsIgnored(t *testing.T) {
	member := New(Config{MemberID: "b#2", Zone: testZone})
	view := View{Zone: testZone, Number: 5, Epoch: 1, Primary: "a#1", Members: []string{"a#1", "b#2"}}
	accepted := Replicate{View: view, From: "a#1", To: "b#2", Term: 5}
	assert.Assert(t, len(member.Step(testStart, accepted)) > 0)
	for _, change := range []func(c *Replicate){
		func(c *Replicate) { c.View.Number = 4 },
		func(c *Replicate) { c.To = "b#1" },
		func(c *Replicate) { c.From = "c#1" },
		func(c *Replicate) { c.View.Zone = "alex-a" },
		func(c *Replicate) { c.Through, c.Entries = 1, []Entry{{ID: floorID, Seq: 1}} },
		func(c *Replicate) { c.Entries = []Entry{{ID: floorID, Seq: 1, LowWatermark: &LowWatermark{}}} },
	} {
		refused := accepted
		change(&refused)
		assert.Equal(t, len(member.Step(testStart, refused)), 0)
	}
}

// Guards against a table that grows without bound.
func TestLimits(t *testing.T) {
	s := newSingle(Config{MaxRecords: 2, MaxSessions: 1})
	session := Session{Zone: testZone, Organisation: "guild"}
	assert.Equal(t, s.ask(testStart, session).Outcome, OutcomeOpened)
	assert.Equal(t, s.ask(testStart, session).Hint, hintSessions)
	assert.Equal(t, s.begin(testStart, timedKey(testStart)).Outcome, OutcomeGranted)
	assert.Equal(t, s.begin(testStart, timedKey(testStart.Add(time.Millisecond))).Outcome, OutcomeGranted)
	assert.Equal(t, s.begin(testStart, timedKey(testStart.Add(time.Second))).Hint, hintFull)
	s = newSingle(Config{MaxResponseBytes: 100})
	s.ask(testStart, s.begin(testStart, "a").Permit.Finish(ResultAnswered, Response{Body: make([]byte, 100)}))
	assert.Equal(t, s.begin(testStart, "b").Hint, hintFull)
}

// Guards against an availability zone without a first view, and against a member that was restarted while it proposed it.
func TestFirstViewOfANewZone(t *testing.T) {
	s := &single{config: Config{MemberID: "a#1", Zone: testZone}, disk: &node{entries: map[string]Entry{}}}
	s.restart()
	s.keep(s.member.Step(testStart, Install{}))
	effects := s.member.Tick(testStart)
	s.keep(effects)
	first := View{Zone: testZone, Number: 1, Epoch: 1, Primary: "a#1", Members: []string{"a#1"}}
	assert.DeepEqual(t, effects[len(effects)-1], Effect(Propose{View: first}))
	s.restart()
	s.keep(s.member.Step(testStart, Install{View: first}))
	assert.Equal(t, s.begin(testStart, "key").Outcome, OutcomeGranted)
}

// Guards against a member that decides without the records of the view, for example on a records file that is new.
func TestMemberWithoutRecordsDecidesNothing(t *testing.T) {
	s := &single{config: Config{MemberID: "a#1", Zone: testZone}, disk: &node{entries: map[string]Entry{}}}
	s.restart()
	s.keep(s.member.Step(testStart, Install{View: View{Zone: testZone, Number: 1, Epoch: 1, Primary: "a#1", Members: []string{"a#1"}}}))
	assert.Equal(t, s.begin(testStart, "key").Outcome, OutcomeNotPrimary)
}

// Guards against granting an attempt that gave up while the copy of its record was on the way.
func TestReleaseOvertakesTheGrant(t *testing.T) {
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

// Guards against a message of a broken peer that takes the member down.
func FuzzCopy(f *testing.F) {
	f.Add([]byte(`{"view":{"zone":"cairo-a","number":5,"primary":"b#1"},"from":"b#1","to":"a#1","through":1,"entries":[{"id":"floor","seq":1,"floor":{}}]}`))
	f.Add([]byte(`{"view":{"zone":"cairo-a","number":5,"primary":"b#1"},"from":"b#1","to":"a#1","through":1,"entries":[{"id":"record/5/guild/key","seq":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var message Replicate
		if json.Unmarshal(data, &message) != nil {
			return
		}
		s := newSingle(Config{})
		s.keep(s.member.Step(testStart, message))
		s.restart()
		assert.Assert(t, s.begin(testStart, "key").Outcome != "")
	})
}
