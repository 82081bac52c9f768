package harness

import (
	"net/netip"
	"sync"

	"sequoiaspread.example/loadtool/relay"
	"sequoiaspread.example/sequoia/loader"
)

// Target is an address to which gateways and controllers connect.
type Target struct {
	Spec    Spec
	Address netip.AddrPort
}

// Link is the relay between one process and one address.
type Link struct {
	From  Spec
	To    Target
	Relay *relay.Relay
}

// Links inserts relays into the connections that the filter selects, so that a test can inject faults into them.
type Links struct {
	filter func(from Spec, to Target) bool

	mu    sync.Mutex
	links []Link
}

// NewLinks returns links without relays; New starts the relays of a fleet.
func NewLinks(filter func(from Spec, to Target) bool) *Links {
	return &Links{filter: filter}
}

// Each calls apply for the relay of each link that matches.
func (l *Links) Each(match func(from Spec, to Target) bool, apply func(*relay.Relay)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.links {
		if match(link.From, link.To) {
			apply(link.Relay)
		}
	}
}

// Close closes all relays.
func (l *Links) Close() {
	l.Each(func(Spec, Target) bool { return true }, (*relay.Relay).Close)
}

// overrides starts the relays of one process and returns the address overrides that route its connections through them.
func (l *Links) overrides(from Spec, targets []Target) ([]loader.AddressOverride, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var overrides []loader.AddressOverride
	for _, target := range targets {
		if target.Spec.Name() == from.Name() || !l.filter(from, target) {
			continue
		}
		linkRelay, err := relay.New(target.Address)
		if err != nil {
			return nil, wrapError("start relay", KindNetwork, err)
		}
		l.links = append(l.links, Link{From: from, To: target, Relay: linkRelay})
		overrides = append(overrides, loader.AddressOverride{From: target.Address, To: linkRelay.Address()})
	}
	return overrides, nil
}

// targets returns the addresses of all controllers, gateways and upstreams.
func (f *Fleet) targets() []Target {
	var targets []Target
	for _, vm := range f.Document.VMs {
		gateway := Spec{Program: ProgramGateway, VM: vm.Name, Zone: vm.Zone}
		targets = append(targets,
			Target{Spec: gateway, Address: vm.RPCAddress.AddrPort},
			Target{Spec: gateway, Address: vm.InternalAddress.AddrPort},
		)
		if vm.HasController() {
			controller := Spec{Program: ProgramController, VM: vm.Name, Zone: vm.Zone}
			targets = append(targets, Target{Spec: controller, Address: vm.ControllerAddress.AddrPort})
		}
	}
	for _, upstream := range f.Upstreams {
		targets = append(targets, Target(upstream))
	}
	return targets
}
