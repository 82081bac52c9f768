package locator

import (
	"cmp"
	"hash/fnv"
	"math"
	"net/netip"
	"slices"
	"time"
)

// State is the state of an entry VM.
type State string

// States of an entry VM.
const (
	StateLive     State = "live"
	StateStopping State = "stopping"
	StateDead     State = "dead"
)

// VM is an entry VM, as reported by its availability zone.
type VM struct {
	Name    string
	Zone    string
	Region  string
	Address netip.AddrPort
	// Weight is the relative share of callers among VMs at the same distance; 0 means 1.
	Weight float64
	State  State
}

// Caller describes the caller that requests a list.
type Caller struct {
	// Zone is the availability zone of the caller, or the home zone of its organisation.
	Zone   string
	Region string
	// Seed distributes callers over the VMs; equal seeds yield equal lists.
	Seed uint64
	// Restricted is set if residency allows only AllowedZones, which may be none.
	Restricted   bool
	AllowedZones []string
}

// Entry is one VM in a list.
type Entry struct {
	VM      string
	Address netip.AddrPort
	Zone    string
}

// List contains the VMs in the order in which a caller should try them. It is valid for Lifetime.
type List struct {
	Entries  []Entry
	Lifetime time.Duration
}

// Config configures a Locator.
type Config struct {
	// Lifetime is how long a caller may use a list.
	Lifetime time.Duration
	// PropagationTime is how long other VMs may still list a VM after it started to stop.
	PropagationTime time.Duration
}

// Locator holds the entry VMs and the times at which they started to stop. It is not safe for concurrent use.
type Locator struct {
	config   Config
	vms      map[string]VM
	stopping map[string]time.Time
}

// New returns a Locator without VMs.
func New(config Config) *Locator {
	return &Locator{config: config, vms: map[string]VM{}, stopping: map[string]time.Time{}}
}

// SetVMs replaces the known VMs. A stopping VM remains stopping until it is reported dead or is no longer included,
// because a delayed report may still show it as live.
func (l *Locator) SetVMs(now time.Time, vms []VM) {
	next := map[string]VM{}
	for _, vm := range vms {
		next[vm.Name] = vm
		if vm.State == StateStopping {
			l.setStopping(now, vm.Name)
		}
	}
	l.vms = next
	for name := range l.stopping {
		if vm, ok := next[name]; !ok || vm.State == StateDead {
			delete(l.stopping, name)
		}
	}
}

// MarkStopping marks a VM as stopping since now, unless it is stopping already.
func (l *Locator) MarkStopping(now time.Time, name string) {
	l.setStopping(now, name)
}

func (l *Locator) setStopping(now time.Time, name string) {
	if _, ok := l.stopping[name]; !ok {
		l.stopping[name] = now
	}
}

// Drained reports whether a VM is stopping and no caller can still have a valid list that includes it.
func (l *Locator) Drained(now time.Time, name string) bool {
	since, ok := l.stopping[name]
	return ok && now.Sub(since) >= l.config.PropagationTime+l.config.Lifetime
}

// Locate returns the live VMs for a caller: those in its availability zone first, then those in its region, then all
// others. Within each group the order is a weighted random order determined by the seed.
func (l *Locator) Locate(caller Caller) List {
	var ranked []rankedVM
	for _, vm := range l.vms {
		if l.isListed(vm, caller) {
			ranked = append(ranked, rankedVM{vm: vm, distance: distance(vm, caller), priority: weightedPriority(vm, caller.Seed)})
		}
	}
	slices.SortFunc(ranked, compareRankedVMs)
	list := List{Lifetime: l.config.Lifetime}
	for _, entry := range ranked {
		list.Entries = append(list.Entries, Entry{VM: entry.vm.Name, Address: entry.vm.Address, Zone: entry.vm.Zone})
	}
	return list
}

type rankedVM struct {
	vm       VM
	distance int
	priority float64
}

func compareRankedVMs(a, b rankedVM) int {
	return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.priority, b.priority), cmp.Compare(a.vm.Name, b.vm.Name))
}

func (l *Locator) isListed(vm VM, caller Caller) bool {
	_, stopping := l.stopping[vm.Name]
	allowed := !caller.Restricted || slices.Contains(caller.AllowedZones, vm.Zone)
	return vm.State == StateLive && !stopping && allowed
}

func distance(vm VM, caller Caller) int {
	switch {
	case vm.Zone == caller.Zone:
		return 0
	case vm.Region == caller.Region:
		return 1
	default:
		return 2
	}
}

// weightedPriority samples an exponential distribution whose rate is the weight. The probability that a VM has the
// smallest sample is proportional to its weight.
func weightedPriority(vm VM, seed uint64) float64 {
	weight := vm.Weight
	if weight <= 0 {
		weight = 1
	}
	return -math.Log(uniformHash(vm.Name, seed)) / weight
}

// uniformHash returns a number in (0, 1] derived from the name and the seed.
func uniformHash(name string, seed uint64) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	mixedHash := mixBits(hash.Sum64() ^ mixBits(seed))
	return (float64(mixedHash>>11) + 1) / (1 << 53)
}

// mixBits is one step of SplitMix64, which maps adjacent seeds to unrelated values.
func mixBits(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
