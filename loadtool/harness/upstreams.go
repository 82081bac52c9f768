package harness

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"sequoiaspread.example/sequoia/parser"
)

const (
	runnerPort       = 7200
	servicePort      = 7210
	platformPort     = 7300
	runnerHost       = 100
	serviceHost      = 200
	platformHost     = 250
	firstIncarnation = 1
)

// Upstream is a test upstream, a local process in place of an upstream VM.
type Upstream struct {
	Spec    Spec
	Address netip.AddrPort
}

// vmEntry is one entry of the platform's VM list.
type vmEntry struct {
	Name        string         `json:"name"`
	Address     netip.AddrPort `json:"address"`
	Pool        string         `json:"pool"`
	Zone        string         `json:"zone"`
	State       string         `json:"state"`
	Incarnation uint64         `json:"incarnation"`
}

// assignUpstreams distributes the upstreams of all pools over their availability zones.
func (f *Fleet) assignUpstreams() []Upstream {
	var upstreams []Upstream
	zones := f.Document.Zones()
	hosts := map[string]int{}
	for _, pool := range f.Document.Pools {
		count, ok := f.config.Upstreams[pool.Name]
		if !ok {
			count = len(pool.Zones)
		}
		for i := range count {
			zone := pool.Zones[i%len(pool.Zones)]
			group := zone + string(pool.Kind)
			hosts[group]++
			upstreams = append(upstreams, f.newUpstream(pool, zone, slices.Index(zones, zone)+1, hosts[group]))
		}
	}
	return upstreams
}

func (f *Fleet) newUpstream(pool parser.Pool, zone string, zoneNumber, number int) Upstream {
	spec := Spec{Program: ProgramRunner, VM: fmt.Sprintf("%s-%s-%d", pool.Name, zone, number), Zone: zone, Pool: pool.Name}
	if pool.Kind == parser.PoolPlain {
		spec.Program = ProgramService
		return Upstream{Spec: spec, Address: f.network.address(zoneNumber, serviceHost+number, servicePort)}
	}
	return Upstream{Spec: spec, Address: f.network.address(zoneNumber, runnerHost+number, runnerPort)}
}

func (f *Fleet) platformAddress(zone string) netip.AddrPort {
	return f.network.address(slices.Index(f.Document.Zones(), zone)+1, platformHost, platformPort)
}

// vmListEntry returns the VM list entry of an upstream.
func vmListEntry(upstream Upstream, state string) vmEntry {
	return vmEntry{
		Name: upstream.Spec.VM, Address: upstream.Address, Pool: upstream.Spec.Pool, Zone: upstream.Spec.Zone,
		State: state, Incarnation: firstIncarnation,
	}
}

func (f *Fleet) writeVMList(zone string) (string, error) {
	list := []vmEntry{}
	for _, upstream := range f.Upstreams {
		if upstream.Spec.Zone == zone {
			list = append(list, vmListEntry(upstream, "live"))
		}
	}
	text, err := json.Marshal(list)
	if err != nil {
		return "", wrapError("format VM list", KindFile, err)
	}
	path := filepath.Join(f.config.Folder, "settings", "vms-"+zone+".json")
	return path, wrapError("write VM list", KindFile, os.WriteFile(path, text, 0o600))
}

// upstreamArgs returns the command-line arguments of an upstream.
func (f *Fleet) upstreamArgs(upstream Upstream) []string {
	spec := upstream.Spec
	args := []string{"--vm", spec.VM, "--zone", spec.Zone, "--address", upstream.Address.String()}
	pool, _ := f.Document.Pool(spec.Pool)
	if spec.Program == ProgramService {
		args = append(args, fmt.Sprintf("--honour-keys=%t", pool.HonoursIdempotencyKeys), "--journal", f.journalPath(spec))
		return append(args, f.config.ServiceFlags...)
	}
	args = append(args,
		"--models", strings.Join(pool.Models, ","),
		fmt.Sprintf("--batch-limit=%d", pool.BatchLimit),
		fmt.Sprintf("--check-fencing-numbers=%t", pool.ChecksFencingTokens),
		fmt.Sprintf("--resume-streams=%t", pool.ResumesStreams),
	)
	return append(args, f.config.RunnerFlags...)
}
