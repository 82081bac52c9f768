package pinner

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Memory is how long a stream and the sight of a version are remembered at least. No caller comes back to a stream after
// it: each gives up at the deadline of its request.
const Memory = 30 * time.Second

// Key identifies the attempt that brought the first event of a stream.
type Key uint64

// KeyOf returns the key of an attempt's ID.
func KeyOf(attempt string) Key {
	return Key(xxhash.Sum64String(attempt))
}

// Record is the version of a service that began a stream.
type Record struct {
	Key              Key
	Service, Version string
}

// began is what is kept of the stream of a key.
type began struct {
	service, version string
}

// Table holds the streams and the versions of the latest time.
type Table struct {
	// watchedSince is from when on no version was missed.
	watchedSince time.Time
	// current and previous are two generations of streams; the older one is dropped after Memory.
	current, previous map[Key]*began
	rotatedAt         time.Time
	// kinds holds one value for all streams of a service and a version.
	kinds map[began]*began
	// seen holds the versions of each service.
	seen map[string]map[string]sighting
}

// sighting is when a version was last seen, and from when on the disk of this process has held it, or zero.
type sighting struct {
	last, keptSince time.Time
}

func (s sighting) isOld(now time.Time) bool {
	return now.Sub(s.last) > Memory
}

// New returns an empty table that sees every version from a time on; the zero time stands for the first start of the
// whole system.
func New(watchedSince time.Time) *Table {
	return &Table{
		watchedSince: watchedSince, current: map[Key]*began{}, previous: map[Key]*began{},
		kinds: map[began]*began{}, seen: map[string]map[string]sighting{},
	}
}

// WatchedSince records that no version was missed from an earlier time on; the zero time stands for the first start of
// the whole system.
func (t *Table) WatchedSince(at time.Time) {
	if at.Before(t.watchedSince) {
		t.watchedSince = at
	}
}

// Add records a stream that began.
func (t *Table) Add(now time.Time, record Record) {
	t.rotate(now)
	t.current[record.Key] = t.kindOf(record)
	t.See(now, record.Service, record.Version)
}

// Find returns the version that began a stream of a service.
func (t *Table) Find(now time.Time, service string, key Key) (string, bool) {
	t.rotate(now)
	stream, ok := t.current[key]
	if !ok {
		stream, ok = t.previous[key]
	}
	if !ok || stream.service != service {
		return "", false
	}
	return stream.version, true
}

// kindOf returns the value that the streams of a service and a version share.
func (t *Table) kindOf(record Record) *began {
	kind := began{record.Service, record.Version}
	shared, ok := t.kinds[kind]
	if !ok {
		shared = &kind
		t.kinds[kind] = shared
	}
	return shared
}

// Records returns the streams of a service that are remembered.
func (t *Table) Records(now time.Time, service string) []Record {
	t.rotate(now)
	var records []Record
	for _, generation := range []map[Key]*began{t.previous, t.current} {
		for key, stream := range generation {
			if stream.service == service {
				records = append(records, Record{key, stream.service, stream.version})
			}
		}
	}
	return records
}

// See records that a version of a service serves.
func (t *Table) See(now time.Time, service, version string) {
	if t.seen[service] == nil {
		t.seen[service] = map[string]sighting{}
	}
	known := t.seen[service][version]
	if known.isOld(now) {
		known.keptSince = time.Time{}
	}
	known.last = now
	t.seen[service][version] = known
}

// Versions returns the versions of a service that were seen lately.
func (t *Table) Versions(now time.Time, service string) []string {
	var versions []string
	for version, known := range t.seen[service] {
		if known.isOld(now) {
			delete(t.seen[service], version)
			continue
		}
		versions = append(versions, version)
	}
	return versions
}

// AllVersions returns the versions of each service that were seen lately.
func (t *Table) AllVersions(now time.Time) map[string][]string {
	all := map[string][]string{}
	for service := range t.seen {
		if versions := t.Versions(now, service); len(versions) > 0 {
			all[service] = versions
		}
	}
	return all
}

// Mixed returns the services of which several versions were seen lately.
func (t *Table) Mixed(now time.Time) map[string][]string {
	var mixed map[string][]string
	for service, versions := range t.AllVersions(now) {
		if len(versions) < 2 {
			continue
		}
		if mixed == nil {
			mixed = map[string][]string{}
		}
		mixed[service] = versions
	}
	return mixed
}

// Sole returns the only version of a service that can have begun a stream which callers may come back to. It fails if
// there are several, and while the table is too young to know.
func (t *Table) Sole(now time.Time, service string) (string, bool) {
	versions := t.Versions(now, service)
	if len(versions) != 1 || !t.Complete(now) {
		return "", false
	}
	return versions[0], true
}

// Complete reports whether the table has seen all versions that can have begun a stream which callers may come back to.
func (t *Table) Complete(now time.Time) bool {
	return t.watchedSince.IsZero() || now.Sub(t.watchedSince) >= Memory
}

// rotate drops the streams that are older than two generations.
func (t *Table) rotate(now time.Time) {
	switch age := now.Sub(t.rotatedAt); {
	case age < Memory:
	case age < 2*Memory:
		t.previous, t.current, t.rotatedAt = t.current, map[Key]*began{}, now
	default:
		t.previous, t.current, t.rotatedAt = map[Key]*began{}, map[Key]*began{}, now
	}
}
