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

var errNoView = eris.New("no view of the availability zone is known")

// recordClient is what the gateway needs of the record groups.
type recordClient interface {
	Begin(ctx context.Context, primary netip.AddrPort, begin recorder.Begin) (recorder.Reply, error)
	Finish(ctx context.Context, primary netip.AddrPort, finish recorder.Finish) (recorder.Reply, error)
	Release(ctx context.Context, primary netip.AddrPort, release recorder.Release) (recorder.Reply, error)
	Lookup(ctx context.Context, primary netip.AddrPort, lookup recorder.Lookup) (recorder.Reply, error)
	Session(ctx context.Context, primary netip.AddrPort, session recorder.Session) (recorder.Reply, error)
}

// records selects the primary of an availability zone's record group for each request.
type records struct {
	client recordClient

	mu        sync.Mutex
	views     map[string]primaryView
	addresses map[string]netip.AddrPort
}

// viewOf is the primary of the highest view known.
type primaryView struct {
	number  uint64
	primary string
}

func newRecords(pool *messenger.Pool) *records {
	r := &records{views: map[string]primaryView{}, addresses: map[string]netip.AddrPort{}}
	r.client = recordserver.NewClient(pool).WithSelector(r.primary)
	return r
}

// setViews keeps for each availability zone the view with the highest number.
func (r *records) setViews(views []promoter.View) {
	for _, view := range views {
		r.setView(view.Zone, view.Number, view.Primary)
	}
}

func (r *records) setView(zone string, number uint64, primary string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.views[zone]; !ok || number > known.number {
		r.views[zone] = primaryView{number: number, primary: primary}
	}
}

// setAddresses takes the addresses of the controllers from the document in force.
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

// primary returns the address of an availability zone's primary; a member id is the VM's name, "#" and a number.
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

// ask calls the primary, and the next one when the first says that it no longer is.
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
		return recorder.Reply{}, eris.New("request does not end a record")
	}
}

func (r *records) lookup(ctx context.Context, lookup recorder.Lookup) (recorder.Reply, error) {
	return r.callPrimary(lookup.Zone, func(primary netip.AddrPort) (recorder.Reply, error) { return r.client.Lookup(ctx, primary, lookup) })
}

func (r *records) session(ctx context.Context, session recorder.Session) (recorder.Reply, error) {
	return r.callPrimary(session.Zone, func(primary netip.AddrPort) (recorder.Reply, error) { return r.client.Session(ctx, primary, session) })
}
