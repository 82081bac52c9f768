package fleetserver

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
)

// Fleet lists the live entry VMs, sorted by name, and the RPC addresses of all coordinators.
type Fleet struct {
	Digest uint64 `json:"digest"`
	// Base is the digest of the fleet that EntryVMs and Removed change; 0 if EntryVMs is the whole fleet.
	Base         uint64           `json:"base,omitempty"`
	EntryVMs     []EntryVM        `json:"entries"`
	Removed      []string         `json:"removed,omitempty"`
	Coordinators []netip.AddrPort `json:"coordinators"`
}

// Apply returns the fleet after an update. It returns false if the update changes another fleet than this one.
func (f Fleet) Apply(update Fleet) (Fleet, bool) {
	if update.Base == 0 {
		return update, true
	}
	if update.Base != f.Digest {
		return f, false
	}
	vms := byName(f.EntryVMs)
	for _, name := range update.Removed {
		delete(vms, name)
	}
	for _, vm := range update.EntryVMs {
		vms[vm.Name] = vm
	}
	return Fleet{Digest: update.Digest, EntryVMs: sortedVMs(vms), Coordinators: update.Coordinators}, true
}

// updateFrom returns the update that changes an earlier fleet into this one.
func (f Fleet) updateFrom(earlier Fleet) Fleet {
	update := Fleet{Digest: f.Digest, Base: earlier.Digest, EntryVMs: []EntryVM{}, Coordinators: f.Coordinators}
	removed := byName(earlier.EntryVMs)
	for _, vm := range f.EntryVMs {
		if known, ok := removed[vm.Name]; !ok || known != vm {
			update.EntryVMs = append(update.EntryVMs, vm)
		}
		delete(removed, vm.Name)
	}
	update.Removed = slices.Sorted(maps.Keys(removed))
	return update
}

func byName(vms []EntryVM) map[string]EntryVM {
	named := make(map[string]EntryVM, len(vms))
	for _, vm := range vms {
		named[vm.Name] = vm
	}
	return named
}

func sortedVMs(vms map[string]EntryVM) []EntryVM {
	return slices.SortedFunc(maps.Values(vms), func(a, b EntryVM) int { return strings.Compare(a.Name, b.Name) })
}
