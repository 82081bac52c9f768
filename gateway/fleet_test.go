package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"sequoiaspread.example/sequoia/configserver"
	"sequoiaspread.example/sequoia/loader"
	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/promoter"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const testTimeout = 15 * time.Second

// fleet is a test environment on loopback: gateways, their controller, and the platform and the upstreams of each zone.
type fleet struct {
	t            testing.TB
	zones        []string
	mu           sync.Mutex
	documentText string
	version      uint64
	vmLists      map[string][]listedVM
	platforms    map[string]netip.AddrPort
	controller   netip.AddrPort
	gateways     map[string]*testGateway
	records      *fakeRecords
	log          *bytes.Buffer
	// documentReceiver names the only gateway that receives new versions from the controller; lastValidText is the last
	// document that parses.
	documentReceiver string
	lastValidText    string
	polls            int
}

type testGateway struct {
	*gateway
	listeners   *listeners
	cancel      context.CancelFunc
	serveResult chan error
}

const testRanks = `
[[ranks]]
name = "urgent"
first-token-target = "2s"
token-interval-target = "29ms"
objective = 0.95
guaranteed-share = 0.6
queue-limit = 200
max-wait = "2s"

[[ranks]]
name = "patient"
first-token-target = "20s"
token-interval-target = "200ms"
objective = 0.95
guaranteed-share = 0.25
queue-limit = 400
max-wait = "60s"

[[models]]
name = "paws-chat"
cold-start = "90s"

[[services]]
name = "assist"
pool = "engines"
default-rank = "urgent"
timeout = "30s"

[[services]]
name = "core"
pool = "plain"
default-rank = "urgent"
timeout = "3s"
operations = [{method = "POST", path = "/bookings", idempotent = false}]
`

// newFleet opens the listeners of one gateway for each of the given VMs, which are named zone-number.
func newFleet(t testing.TB, rules string, vms ...string) *fleet {
	f := &fleet{t: t, version: 1, vmLists: map[string][]listedVM{}, platforms: map[string]netip.AddrPort{}, gateways: map[string]*testGateway{}, records: newFakeRecords(), log: &bytes.Buffer{}}
	var text strings.Builder
	text.WriteString("[environment]\nname = \"test\"\nstage = \"trial\"\nversion = 1\n[network]\nzone-delay = \"1ms\"\nregion-delay = \"5ms\"\ncaller-delay = \"1ms\"\nregion-link-mbit = 2000\n")
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(f.logText())
		}
	})
	for _, vm := range vms {
		f.addGateway(vm)
	}
	names := `"` + strings.Join(f.zones, `", "`) + `"`
	fmt.Fprintf(&text, "[[regions]]\nname = \"here\"\nzones = [%s]\n", names)
	for i, vm := range vms {
		g := f.gateways[vm]
		fmt.Fprintf(&text, "[[vms]]\nname = %q\nzone = %q\ncaller-address = %q\ninternal-address = %q\nrpc-address = %q\nadmin-address = %q\n", vm, g.settings.Zone,
			g.settings.CallerAddress, g.settings.InternalAddress, g.settings.RPCAddress, g.settings.AdminAddress)
		if i == 0 {
			fmt.Fprintf(&text, "controller-address = \"127.0.0.1:9\"\nvoter = true\n")
		}
	}
	fmt.Fprintf(&text, "%s\n[[pools]]\nname = \"engines\"\nkind = \"engine\"\nzones = [%s]\nmodels = [\"paws-chat\"]\nbatch-limit = 16\nresumes-streams = true\n", testRanks, names)
	fmt.Fprintf(&text, "[[pools]]\nname = \"plain\"\nkind = \"plain\"\nzones = [%s]\nbatch-limit = 64\n", names)
	fmt.Fprintf(&text, "[[organisations]]\nname = \"kiosks\"\nkey-digest = \"%s\"\nhome-zone = %q\nweight = 1.0\n%s", keyDigest("demo-kiosks"), f.zones[0], rules)
	f.documentText = text.String()
	return f
}

func (f *fleet) addGateway(vm string) {
	zone := vm[:strings.LastIndex(vm, "-")]
	if _, ok := f.platforms[zone]; !ok {
		f.zones = append(f.zones, zone)
		f.platforms[zone] = serverAddress(f.startServer(func(w http.ResponseWriter, _ *http.Request) { f.serveVMList(w, zone) }).URL)
	}
	if !f.controller.IsValid() {
		f.controller = f.startController()
	}
	settings := &loader.Settings{VM: vm, Zone: zone, PlatformAddress: f.platforms[zone], Controllers: []netip.AddrPort{f.controller}}
	ls := &listeners{caller: f.listen(&settings.CallerAddress), internal: f.listen(&settings.InternalAddress), rpc: f.listen(&settings.RPCAddress), admin: f.listen(&settings.AdminAddress)}
	logger := logrus.New()
	logger.SetOutput(&lockedWriter{mu: &f.mu, w: f.log})
	logger.SetLevel(logrus.DebugLevel)
	g, err := newGateway(settings, logger)
	assert.NilError(f.t, err)
	g.drainTiming = drainTiming{directoryLifetime: 300 * time.Millisecond, propagationTime: 200 * time.Millisecond, timeout: testTimeout}
	g.records.client = f.records
	f.gateways[vm] = &testGateway{gateway: g, listeners: ls, serveResult: make(chan error, 1)}
}

func (f *fleet) logText() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.log.String()
}

type lockedWriter struct {
	mu *sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

func (f *fleet) listen(address *netip.AddrPort) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = listener.Close() })
	*address = netip.MustParseAddrPort(listener.Addr().String())
	return listener
}

func (f *fleet) startServer(handler http.HandlerFunc) *httptest.Server {
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.Close)
	return server
}

func serverAddress(url string) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(url, "http://"))
}

func (f *fleet) serveVMList(w http.ResponseWriter, zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"vms": f.vmLists[zone]})
}

// startController starts a controller that responds to polls with the document of the fleet.
func (f *fleet) startController() netip.AddrPort {
	var address netip.AddrPort
	listener := f.listen(&address)
	server := messenger.NewServer(messenger.ServerConfig{Logger: logrus.New(), Handler: configserver.NewHandler(fakeController{f: f})})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(ctx, listener) }()
	f.t.Cleanup(func() { cancel(); <-done })
	return address
}

// fakeController implements polls only.
type fakeController struct {
	configserver.Service
	f *fleet
}

func (c fakeController) Configuration(poll configserver.Poll) configserver.Update {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	c.f.polls++
	if c.f.documentReceiver != "" && poll.VM != c.f.documentReceiver {
		return configserver.Update{Version: poll.Have}
	}
	update := configserver.Update{Version: c.f.version, Text: []byte(c.f.documentText), Newer: c.f.version > poll.Have, ViewsRevision: 1}
	for _, zone := range c.f.zones {
		update.Views = append(update.Views, promoter.View{Zone: zone, Number: 1, Primary: c.f.zones[0] + "-1#1"})
	}
	return update
}

// applyDocument changes the document and waits until all gateways apply it.
func (f *fleet) applyDocument(change func(text string) string) {
	f.mu.Lock()
	f.version++
	f.documentText = change(f.documentText)
	f.mu.Unlock()
	for _, g := range f.gateways {
		f.waitFor("document version is applied", func() bool { return g.environment.Load().version == f.version })
	}
}

// addUpstream adds an upstream to the VM list. If gateways are running, it waits until those of its zone have found it.
func (f *fleet) addUpstream(zone, pool, name string, address netip.AddrPort, incarnation uint64) {
	f.setListedVM(zone, listedVM{Name: name, Address: address, Pool: pool, Zone: zone, State: "live", Incarnation: incarnation})
	for _, g := range f.gateways {
		if g.cancel != nil && g.settings.Zone == zone {
			f.waitFor("upstream was added", func() bool { _, ok := g.upstreams.find(name, incarnation); return ok })
		}
	}
}

func (f *fleet) setListedVM(zone string, vm listedVM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []listedVM{}
	for _, entry := range f.vmLists[zone] {
		if entry.Name != vm.Name {
			list = append(list, entry)
		}
	}
	f.vmLists[zone] = append(list, vm)
}

// start runs all gateways and waits until they are ready and have discovered each other and their upstreams.
func (f *fleet) start() {
	for _, g := range f.gateways {
		ctx, cancel := context.WithCancel(context.Background())
		g.cancel = cancel
		go func() { g.serveResult <- g.serve(ctx, g.listeners) }()
		f.t.Cleanup(func() {
			cancel()
			select {
			case err := <-g.serveResult:
				assert.Check(f.t, err)
			case <-time.After(testTimeout):
				f.t.Error("gateway did not stop")
			}
		})
	}
	for _, g := range f.gateways {
		f.waitFor("gateway is ready", func() bool { return g.config.ready() && len(g.upstreams.all()) == len(f.vmLists[g.settings.Zone]) })
	}
	for _, g := range f.gateways {
		f.waitFor("gateways discovered each other", func() bool {
			for name := range f.gateways {
				if g.members.state(time.Now(), name) != memberLive {
					return false
				}
			}
			return true
		})
	}
}

func (f *fleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(5*time.Millisecond))
}

func (f *fleet) firstGateway() *testGateway {
	return f.gateways[f.zones[0]+"-1"]
}

func (g *testGateway) url(path string) string {
	return "http://" + g.settings.CallerAddress.String() + path
}
