package answerer

import (
	"context"
	"sync"
	"time"

	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/pinner"
)

const (
	// maxUnsentRecords limits the records of streams that wait until a coordinator takes them.
	maxUnsentRecords = 10_000
	// unconfirmedDelay is how long after the end of a confirmation the coordinators are told of streams, which they need
	// not know while the next one is only late.
	unconfirmedDelay = 2 * time.Second
)

// StreamFinder asks the coordinators which version began a stream. It fails if none of them knows.
type StreamFinder interface {
	FindStream(ctx context.Context, service string, key pinner.Key) (version string, ok bool)
}

// streamPins holds which versions began the streams of this VM's callers. Unless a single version of a service is known
// to have served for long, the coordinators are told, so that a caller can come back to any VM, also after all of them have
// restarted.
type streamPins struct {
	mu     sync.Mutex
	table  *pinner.Table
	finder StreamFinder
	// published holds the services whose streams the coordinators are told of.
	published map[string]bool
	// unsent are the records that no coordinator has yet.
	unsent []pinner.Record
	// confirmedUntil is the end of the time for which no version can have begun a stream that this VM has not seen.
	confirmedUntil time.Time
}

func newStreamPins(now time.Time) *streamPins {
	return &streamPins{table: pinner.New(now), published: map[string]bool{}}
}

// see records the versions of services that serve.
func (p *streamPins) see(now time.Time, versions map[string][]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, list := range versions {
		for _, version := range list {
			p.table.See(now, service, version)
		}
		publish := p.mustPublish(now, service)
		if publish && !p.published[service] {
			p.keepUnsent(p.table.Records(now, service))
		}
		p.published[service] = publish
	}
}

// mustPublish reports whether callers can come back to another VM only if a coordinator knows their stream: while several
// versions serve, and while nobody confirms that there is a single one, as in a region that is cut off. The lock must be
// held.
func (p *streamPins) mustPublish(now time.Time, service string) bool {
	_, sole := p.table.Sole(now, service)
	return !sole || now.After(p.confirmedUntil.Add(unconfirmedDelay))
}

// add records the version that began a stream.
func (p *streamPins) add(now time.Time, record pinner.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Add(now, record)
	if p.published[record.Service] {
		p.keepUnsent([]pinner.Record{record})
	}
}

// keepUnsent keeps the latest records for the coordinators. The lock must be held.
func (p *streamPins) keepUnsent(records []pinner.Record) {
	p.unsent = append(p.unsent, records...)
	p.unsent = p.unsent[max(0, len(p.unsent)-maxUnsentRecords):]
}

// takeUnsent returns and removes the records for the coordinators.
func (p *streamPins) takeUnsent() []pinner.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	records := p.unsent
	p.unsent = nil
	return records
}

// putBack keeps records that no coordinator took.
func (p *streamPins) putBack(records []pinner.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	later := p.unsent
	p.unsent = records
	p.keepUnsent(later)
}

// local returns the version that began a stream as far as this VM knows.
func (p *streamPins) local(now time.Time, service string, key pinner.Key) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version, ok := p.table.Find(now, service, key); ok {
		return version, true
	}
	return p.sole(now, service)
}

// sole returns the only version of a service, while it is confirmed that there is no other: what this VM has seen says
// nothing about versions that it has not heard of yet. The lock must be held.
func (p *streamPins) sole(now time.Time, service string) (string, bool) {
	if !now.Before(p.confirmedUntil) {
		return "", false
	}
	return p.table.Sole(now, service)
}

// confirm records until when the coordinators confirmed that this VM has seen all versions that begin streams.
func (p *streamPins) confirm(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.confirmedUntil = until
}

// find returns the version that began a stream as far as this VM or a coordinator knows.
func (p *streamPins) find(ctx context.Context, service string, key pinner.Key) (string, bool) {
	if version, ok := p.local(time.Now(), service, key); ok {
		return version, true
	}
	p.mu.Lock()
	finder := p.finder
	p.mu.Unlock()
	if finder == nil {
		return "", false
	}
	return finder.FindStream(ctx, service, key)
}

// complete reports whether this VM knows a single version of each service that serves.
func (p *streamPins) complete(now time.Time, versions map[string][]string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service := range versions {
		if _, sole := p.sole(now, service); !sole {
			return false
		}
	}
	return len(versions) > 0
}

// SetStreamFinder sets what asks the coordinators which version began a stream.
func (a *Answerer) SetStreamFinder(finder StreamFinder) {
	a.pins.mu.Lock()
	defer a.pins.mu.Unlock()
	a.pins.finder = finder
}

// SeeVersions records the software versions of services that were seen in any region.
func (a *Answerer) SeeVersions(versions map[string][]string) {
	a.pins.see(time.Now(), versions)
}

// ConfirmVersions records until when no version can have begun a stream that this VM has not seen.
func (a *Answerer) ConfirmVersions(until time.Time) {
	a.pins.confirm(until)
}

// AwaitEstablishedVersions keeps resumable streams from beginning at versions that SetEstablishedVersions has not named.
func (a *Answerer) AwaitEstablishedVersions() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatcher.AwaitEstablished()
}

// SetEstablishedVersions replaces the versions that may begin streams.
func (a *Answerer) SetEstablishedVersions(versions dispatcher.EstablishedVersions) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatcher.SetEstablished(versions)
}

// Versions returns the software versions of each service in this region.
func (a *Answerer) Versions() map[string][]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.dispatcher.Versions()
}

// KnowsSoleVersions reports whether this VM knows a single version of each of the services, long enough to know that of
// every stream which callers may come back to.
func (a *Answerer) KnowsSoleVersions(versions map[string][]string) bool {
	return a.pins.complete(time.Now(), versions)
}

// TakeStreamRecords returns the records of streams that the coordinators have to be told of, and removes them.
func (a *Answerer) TakeStreamRecords() []pinner.Record {
	return a.pins.takeUnsent()
}

// PutBackStreamRecords keeps records that no coordinator took.
func (a *Answerer) PutBackStreamRecords(records []pinner.Record) {
	a.pins.putBack(records)
}

// takesUp reports whether the caller goes on with a stream that it has a part of.
func (j *job) takesUp() bool {
	return j.route.Class == director.ClassStream && j.route.Resumable && j.info.LastEvent != ""
}

// firstAttempt returns the ID of the attempt that brought or will bring the first event of a stream. It is empty if a
// caller that takes up a stream does not name that attempt.
func (j *job) firstAttempt() string {
	if j.takesUp() {
		return j.info.Resumes
	}
	return j.info.ID
}

// pinTakeUp restricts a stream that the caller takes up to the version that began it. It refuses the request and returns
// false if that is not known.
func (j *job) pinTakeUp(ctx context.Context) bool {
	if !j.takesUp() || j.pin.Set {
		return true
	}
	version, ok := j.a.pins.find(ctx, j.service, pinner.KeyOf(j.firstAttempt()))
	if !ok {
		j.refuse("stream-version-unknown", j.retryAfter())
		return false
	}
	j.pin = dispatcher.PinTo(version)
	return true
}

// pinStream restricts a stream that begins to the version that answers, and records it for callers that come back.
func (j *job) pinStream() {
	if !j.pin.Set {
		j.pin = j.answeredBy
	}
	if !j.pin.Set || j.forwarded() || !j.route.Retryable() {
		return
	}
	attempt := j.firstAttempt()
	if attempt == "" {
		return
	}
	j.a.pins.add(time.Now(), pinner.Record{Key: pinner.KeyOf(attempt), Service: j.service, Version: j.pin.Version})
}
