package locator

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var startTime = time.Unix(0, 0)

func testVMs() []VM {
	address := netip.MustParseAddrPort("127.0.0.1:1")
	return []VM{
		{"cairo-a-1", "cairo-a", "lower", address, 1, StateLive},
		{"cairo-a-2", "cairo-a", "lower", address, 3, StateLive},
		{"alex-a-1", "alex-a", "lower", address, 1, StateLive},
		{"aswan-a-1", "aswan-a", "upper", address, 1, StateLive},
	}
}

func vmNames(list List) []string {
	var out []string
	for _, entry := range list.Entries {
		out = append(out, entry.VM)
	}
	return out
}

// Guards against lists that ignore distance or weight, or that send all callers to the same VM.
func TestOrderByDistanceAndWeight(t *testing.T) {
	l := New(Config{Lifetime: 10 * time.Second})
	l.SetVMs(startTime, testVMs())
	const callers = 4000
	first := map[string]int{}
	for seed := range uint64(callers) {
		got := vmNames(l.Locate(Caller{Zone: "cairo-a", Region: "lower", Seed: seed}))
		assert.DeepEqual(t, got[2:], []string{"alex-a-1", "aswan-a-1"})
		first[got[0]]++
	}
	share := float64(first["cairo-a-2"]) / callers
	assert.Assert(t, math.Abs(share-0.75) < 0.03, "share %v for weight 3 of 4", share)
}

// Guards against listing a stopping VM, and against closing it while a list that includes it is still valid.
func TestMatrix(t *testing.T) {
	l := New(Config{Lifetime: 10 * time.Second, PropagationTime: time.Second})
	l.SetVMs(startTime, testVMs())
	l.MarkStopping(startTime, "cairo-a-1")
	caller := Caller{Zone: "cairo-a", Region: "lower"}
	t.Run("planned-stop/directory/late-report", func(t *testing.T) {
		l.SetVMs(startTime.Add(time.Second), testVMs())
		assert.DeepEqual(t, vmNames(l.Locate(caller))[0], "cairo-a-2")
		assert.Equal(t, len(l.Locate(caller).Entries), 3)
	})
	t.Run("planned-stop/directory/list-in-use", func(t *testing.T) {
		assert.Assert(t, !l.Drained(startTime.Add(10900*time.Millisecond), "cairo-a-1"))
		assert.Assert(t, l.Drained(startTime.Add(11*time.Second), "cairo-a-1"))
	})
	t.Run("planned-stop/directory/restart", func(t *testing.T) {
		dead := testVMs()
		dead[0].State = StateDead
		l.SetVMs(startTime.Add(12*time.Second), dead)
		l.SetVMs(startTime.Add(13*time.Second), testVMs())
		assert.Equal(t, len(l.Locate(caller).Entries), 4)
	})
}

func Example() {
	l := New(Config{Lifetime: 10 * time.Second})
	l.SetVMs(startTime, testVMs())
	list := l.Locate(Caller{Zone: "aswan-a", Region: "upper"})
	fmt.Println(list.Entries[0].VM, list.Lifetime)
	// Output: aswan-a-1 10s
}

// Guards against residency that leaves no availability zone being taken for no restriction.
func TestResidencyThatLeavesNoZoneListsNoVM(t *testing.T) {
	l := New(Config{Lifetime: time.Second})
	l.SetVMs(startTime, testVMs())
	caller := Caller{Zone: "cairo-a", Region: "lower", Restricted: true, AllowedZones: []string{}}
	assert.Equal(t, len(l.Locate(caller).Entries), 0)
	caller.AllowedZones = []string{"aswan-a"}
	assert.DeepEqual(t, vmNames(l.Locate(caller)), []string{"aswan-a-1"})
}
