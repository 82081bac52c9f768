package main

import (
	"context"
	"io"
	"net/netip"
	"sync"

	"sequoiaspread.example/sequoia/recorder"
)

// fakeRecords is an in-memory record group that follows the rules of the recorder.
type fakeRecords struct {
	mu          sync.Mutex
	records     map[string]*fakeRecord
	unreachable bool
	zones       []string
	released    int
}

type fakeRecord struct {
	attempt, digest string
	reply           recorder.Reply
}

func newFakeRecords() *fakeRecords {
	return &fakeRecords{records: map[string]*fakeRecord{}}
}

func (f *fakeRecords) Begin(_ context.Context, _ netip.AddrPort, b recorder.Begin) (recorder.Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zones = append(f.zones, b.Zone)
	record, ok := f.records[b.Key]
	switch {
	case f.unreachable:
		return recorder.Reply{}, io.ErrUnexpectedEOF
	case !ok:
		f.records[b.Key] = &fakeRecord{attempt: b.Attempt, digest: b.Digest, reply: recorder.Reply{Outcome: recorder.OutcomePending}}
		return recorder.Reply{Outcome: recorder.OutcomeGranted, Permit: recorder.Permit{Zone: b.Zone, Organisation: b.Organisation, Key: b.Key, Attempt: b.Attempt}}, nil
	case record.digest != b.Digest:
		return recorder.Reply{Outcome: recorder.OutcomeConflict}, nil
	default:
		return record.reply, nil
	}
}

func (f *fakeRecords) Finish(_ context.Context, _ netip.AddrPort, m recorder.Finish) (recorder.Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := recorder.Reply{Outcome: recorder.OutcomeUnknown}
	if m.Result == recorder.ResultAnswered {
		reply = recorder.Reply{Outcome: recorder.OutcomeReplay, Answer: m.Answer}
	}
	f.records[m.Key].reply = reply
	return recorder.Reply{Outcome: recorder.OutcomeDone}, nil
}

func (f *fakeRecords) Release(_ context.Context, _ netip.AddrPort, m recorder.Release) (recorder.Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released++
	if record, ok := f.records[m.Key]; ok && record.attempt == m.Attempt {
		delete(f.records, m.Key)
	}
	return recorder.Reply{Outcome: recorder.OutcomeDone}, nil
}

func (f *fakeRecords) Lookup(_ context.Context, _ netip.AddrPort, m recorder.Lookup) (recorder.Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if record, ok := f.records[m.Key]; ok {
		return record.reply, nil
	}
	return recorder.Reply{Outcome: recorder.OutcomeAbsent}, nil
}

func (f *fakeRecords) Session(context.Context, netip.AddrPort, recorder.Session) (recorder.Reply, error) {
	return recorder.Reply{Outcome: recorder.OutcomeOpened, Session: "a.1.s"}, nil
}
