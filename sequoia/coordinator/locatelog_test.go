package coordinator

import (
	"net/netip"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/registrar"
)

func newLocatingCoordinator(
	t *testing.T, registry *prometheus.Registry, homes director.Homes,
) (*Coordinator, *logtest.Hook) {
	t.Helper()
	logger, hook := logtest.NewNullLogger()
	c := New(Config{
		Logger: logger, Metrics: NewMetrics(registry), Lifetime: time.Second,
		Homes: func(registrar.State, string) director.Homes { return homes },
	})
	t.Cleanup(func() { assert.Check(t, c.pool.Close()) })
	for i, region := range []string{"north", "north", "west"} {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		name := string(rune('a' + i))
		c.HandleHeartbeat(fleetserver.Heartbeat{Name: name, EntryVM: &fleetserver.EntryVM{
			Name: name, Region: region, Zone: region + "-a", CallerAddress: address,
		}})
	}
	hook.Reset()
	return c, hook
}

// Messages of the directory's log.
const (
	namedOthers = "directory named VMs of other regions"
	namedNone   = "directory named no VM"
)

// Guards against a directory answer outside the homes that cannot be told from one inside: each kind of knowledge about
// the home regions must show, together with what the answer rests on.
func TestAnswerOfOtherRegionsIsLogged(t *testing.T) {
	everywhere := map[string]int{"north": 2, "west": 1}
	for kind, test := range map[director.HomeKind]struct {
		homes   []string
		named   map[string]int
		message string
	}{
		director.HomesKnown:           {homes: []string{"north"}, named: map[string]int{"north": 2}, message: namedOthers},
		director.HomesUnrestricted:    {named: everywhere, message: namedOthers},
		director.HomesNothingInCommon: {homes: []string{"north"}, named: map[string]int{"north": 2}, message: namedOthers},
		director.HomesNoRoute:         {named: map[string]int{}, message: namedNone},
		director.HomesNoDocument:      {named: map[string]int{}, message: namedNone},
		director.HomesUndecodable:     {named: map[string]int{}, message: namedNone},
	} {
		t.Run(string(kind), func(t *testing.T) {
			registry := prometheus.NewRegistry()
			c, hook := newLocatingCoordinator(t, registry, director.Homes{Kind: kind, Regions: test.homes})
			c.Locate("x.example", "south", "south-a")
			assert.Equal(t, len(hook.AllEntries()), 1)
			assert.Equal(t, hook.LastEntry().Message, test.message)
			assert.DeepEqual(t, hook.LastEntry().Data, logrus.Fields{
				"host": "x.example", "caller-region": "south", "caller-zone": "south-a", "homes": test.homes, "reason": kind,
				"revision": uint64(0), "version": uint64(0), "confirmed": false, "live": everywhere,
				"named": test.named, "answers": 1,
			})
			families, err := registry.Gather()
			assert.NilError(t, err)
			assert.Equal(t, len(families), 1)
			assert.Equal(t, families[0].GetName(), "sequoia_directory_other_region_total")
			assert.Equal(t, len(families[0].GetMetric()), 1)
			assert.Equal(t, families[0].GetMetric()[0].GetLabel()[0].GetValue(), string(kind))
			assert.Equal(t, families[0].GetMetric()[0].GetCounter().GetValue(), 1.0)
		})
	}
}

// Guards against a line for each look-up of callers whose region has VMs.
func TestAnswerOfTheCallersRegionIsNotLogged(t *testing.T) {
	c, hook := newLocatingCoordinator(t, prometheus.NewRegistry(), director.Homes{Kind: director.HomesKnown, Regions: []string{"north"}})
	assert.Equal(t, len(c.Locate("x.example", "west", "west-a").Entries), 1)
	assert.Equal(t, len(c.Locate("x.example", "north", "north-a").Entries), 2)
	assert.Equal(t, len(hook.AllEntries()), 0)
}

// Guards against look-ups that flood the log: the host of a caller adds reasons only if the document has it.
func TestLinesOfAnswersAreBounded(t *testing.T) {
	c, hook := newLocatingCoordinator(t, prometheus.NewRegistry(), director.Homes{Kind: director.HomesNoRoute})
	for _, host := range []string{"a", "b", "c"} {
		c.Locate(host, "south", "south-a")
	}
	assert.Equal(t, len(hook.AllEntries()), 1)
}
