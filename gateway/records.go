package main

import (
	"context"
	"net/netip"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/recorder"
	"sequoiaspread.example/sequoia/recordserver"
)

var errNoView = eris.New("primary of the availability zone is unknown")

// recordClient is the interface to the record groups.
type recordClient interface {
	Begin(ctx context.Context, primary netip.AddrPort, begin recorder.Begin) (recorder.Reply, error)
	Finish(ctx context.Context, primary netip.AddrPort, finish recorder.Finish) (recorder.Reply, error)
	Release(ctx context.Context, primary netip.AddrPort, release recorder.Release) (recorder.Reply, error)
	Lookup(ctx context.Context, primary netip.AddrPort, lookup recorder.Lookup) (recorder.Reply, error)
	Session(ctx context.Context, primary netip.AddrPort, session recorder.Session) (recorder.Reply, error)
}

// records calls the primary of the record group of an availability zone.
type records struct {
	client recordClient

	mu        sync.Mutex
	views     map[string]primaryView
	addresses map[string]netip.AddrPort
}

// primaryView is the primary of the highest known view.
type primaryView struct {
	number  uint64
	primary string
}

func newRecords(pool *messenger.Pool) *records {
	r := &records{views: map[string]primaryView{}, addresses: map[string]netip.AddrPort{}}
	r.client = recordserver.NewClient(pool).WithSelector(r.primary)
	return r
}

// setViews stores the view with the highest number for each availability zone.
func (r *records) setViews(views []promoter.View) {
	for _, view := range views {
		r.setView(view.Zone, view.Number, view.Primary)
	}
}

func (r *records) setView(zone string, number uint64, primary string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current, ok := r.views[zone]; !ok || number > current.number {
		r.views[zone] = primaryView{number: number, primary: primary}
	}
}

// setAddresses updates the addresses of the controllers from the current document.
func (r *records) setAddresses(doc *parser.Document) {
	addresses := map[string]netip.AddrPort{}
	for _, vm := range doc.VMs {
		if vm.HasController() {
			addresses[vm.Name] = vm.ControllerAddress.AddrPort
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addresses = addresses
}

// primary returns the address of an availability zone's primary. A member ID is the name of the VM, "#" and a number.
func (r *records) primary(zone string) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	view, ok := r.views[zone]
	if !ok {
		return netip.AddrPort{}, false
	}
	vm, _, _ := strings.Cut(view.primary, "#")
	address, ok := r.addresses[vm]
	return address, ok
}

// callPrimary calls the primary. If that replies that it is no longer primary, it calls the one of the newer view.
func (r *records) callPrimary(zone string, call func(primary netip.AddrPort) (recorder.Reply, error)) (recorder.Reply, error) {
	primary, ok := r.primary(zone)
	if !ok {
		return recorder.Reply{}, errNoView
	}
	reply, err := call(primary)
	if err != nil || reply.Outcome != recorder.OutcomeNotPrimary {
		return reply, err
	}
	r.setView(zone, reply.View.Number, reply.View.Primary)
	if primary, ok = r.primary(zone); !ok {
		return reply, nil
	}
	return call(primary)
}

func (r *records) begin(ctx context.Context, begin recorder.Begin) (recorder.Reply, error) {
	return r.callPrimary(begin.Zone, func(primary netip.AddrPort) (recorder.Reply, error) { return r.client.Begin(ctx, primary, begin) })
}

// end sends a Finish or a Release.
func (r *records) end(ctx context.Context, request recorder.Request) (recorder.Reply, error) {
	switch m := request.(type) {
	case recorder.Finish:
		return r.callPrimary(m.Zone, func(primary netip.AddrPort) (recorder.Reply, error) { return r.client.Finish(ctx, primary, m) })
	case recorder.Release:
		return r.callPrimary(m.Zone, func(primary netip.AddrPort) (recorder.Reply, error) { return r.client.Release(ctx, primary, m) })
	default:
		return recorder.Reply{}, eris.New("request is neither a finish nor a release")
	}
}

func (r *records) lookup(ctx context.Context, lookup recorder.Lookup) (recorder.Reply, error) {
	return r.callPrimary(lookup.Zone, func(primary netip.AddrPort) (recorder.Reply, error) { return r.client.Lookup(ctx, primary, lookup) })
}

func (r *records) session(ctx context.Context, session recorder.Session) (recorder.Reply, error) {
	return r.callPrimary(session.Zone, func(primary netip.AddrPort) (recorder.Reply, error) { return r.client.Session(ctx, primary, session) })
}
