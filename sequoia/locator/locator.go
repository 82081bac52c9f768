package locator

import (
	"cmp"
	"hash/fnv"
	"math"
	"net/netip"
	"slices"
	"time"
)

// State is what is known about an entry VM.
type State string

// States of an entry VM.
const (
	StateLive     State = "live"
	StateStopping State = "stopping"
	StateDead     State = "dead"
)

// VM is an entry VM as its availability zone reports it.
type VM struct {
	Name    string
	Zone    string
	Region  string
	Address netip.AddrPort
	// Weight is the share of callers that the VM takes among its equals; 0 counts as 1.
	Weight float64
	State  State
}

// Caller is who asks for the list.
type Caller struct {
	// Zone is the availability zone of the caller, or the home of its organisation.
	Zone   string
	Region string
	// Seed spreads callers over the VMs; equal seeds get equal lists.
	Seed uint64
	// Places lists the availability zones that residency allows; empty means all.
	AllowedZones []string
}

// Entry is one line of a list.
type Entry struct {
	VM      string
	Address netip.AddrPort
	Zone    string
}

// List is an answer: entries in the order in which to try them, valid for the lifetime.
type List struct {
	Entries  []Entry
	Lifetime time.Duration
}

// Config holds the parameters of a locator.
type Config struct {
	// Lifetime is how long a caller may use a list.
	Lifetime time.Duration
	// Notice is how long other VMs may still list a VM after it announced its stop.
	PropagationTime time.Duration
}

// Locator holds the entry VMs and the times at which they began to stop.
type Locator struct {
	config   Config
	vms      map[string]VM
	stopping map[string]time.Time
}

// New returns a locator without VMs.
func New(config Config) *Locator {
	return &Locator{config: config, vms: map[string]VM{}, stopping: map[string]time.Time{}}
}

// Replace sets the known VMs. A VM that is stopping stays so until it is reported dead or is left out, because a late
// report may still call it live.
func (l *Locator) SetVMs(now time.Time, vms []VM) {
	next := map[string]VM{}
	for _, vm := range vms {
		next[vm.Name] = vm
		if vm.State == StateStopping {
			l.stop(now, vm.Name)
		}
	}
	l.vms = next
	for name := range l.stopping {
		if vm, ok := next[name]; !ok || vm.State == StateDead {
			delete(l.stopping, name)
		}
	}
}

// Stop marks a VM as stopping from a time on.
func (l *Locator) MarkStopping(now time.Time, name string) {
	l.stop(now, name)
}

func (l *Locator) stop(now time.Time, name string) {
	if _, ok := l.stopping[name]; !ok {
		l.stopping[name] = now
	}
}

// MayClose reports whether no caller can still hold a valid list with the VM on it.
func (l *Locator) Drained(now time.Time, name string) bool {
	since, ok := l.stopping[name]
	return ok && now.Sub(since) >= l.config.PropagationTime+l.config.Lifetime
}

// Locate returns the VMs for a caller: its availability zone first, then its region, then the others; within each
// group the order is random by weight. VMs that are stopping or dead are left out.
func (l *Locator) Locate(caller Caller) List {
	var ranked []ranking
	for _, vm := range l.vms {
		if l.listed(vm, caller) {
			ranked = append(ranked, ranking{vm: vm, distance: distance(vm, caller), order: order(vm, caller.Seed)})
		}
	}
	slices.SortFunc(ranked, compareRankings)
	list := List{Lifetime: l.config.Lifetime}
	for _, each := range ranked {
		list.Entries = append(list.Entries, Entry{VM: each.vm.Name, Address: each.vm.Address, Zone: each.vm.Zone})
	}
	return list
}

type ranking struct {
	vm       VM
	distance int
	order    float64
}

func compareRankings(a, b ranking) int {
	return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.order, b.order), cmp.Compare(a.vm.Name, b.vm.Name))
}

func (l *Locator) listed(vm VM, caller Caller) bool {
	_, stopping := l.stopping[vm.Name]
	allowed := len(caller.AllowedZones) == 0 || slices.Contains(caller.AllowedZones, vm.Zone)
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

// order draws an exponential variable with the weight as its rate: the smallest of several such variables belongs to
// each VM with a probability proportional to its weight.
func order(vm VM, seed uint64) float64 {
	weight := vm.Weight
	if weight <= 0 {
		weight = 1
	}
	return -math.Log(uniform(vm.Name, seed)) / weight
}

// uniform returns a number in (0, 1] from the name and the seed.
func uniform(name string, seed uint64) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	mixed := mix(hash.Sum64() ^ mix(seed))
	return (float64(mixed>>11) + 1) / (1 << 53)
}

// mix is the finaliser of SplitMix64; it spreads neighbouring seeds over the whole range.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
