package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// Ports of the machines. They are the same on all machines.
const (
	portReady     = 8140
	portList      = 8142
	portDirectory = 8143
	portFront     = 8144
	portControl   = 8146
	portRunner    = 8080
	portInternal  = 7660
)

// Bounds of the deployment, as on the sheets of the two sites.
const (
	graceSeconds    = 8
	contactTime     = 5 * time.Second
	evacuateTime    = 5 * time.Second
	configApplyTime = 3 * time.Second
	memoryMB        = 284
	listHost        = 99
)

// fleet is a small deployment on loopback addresses: one region for each name, each with one zone and one core machine.
type fleet struct {
	network string
	lock    net.Listener
	dir     string
	program string
	record  *recorder
	list    *instanceList
	regions []string
	core    []*process
	fronts  []*process
	runners []*runner
}

// newFleet reserves a loopback network and a temporary folder, and starts the platform's list.
func newFleet(program string, record *recorder, regions ...string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "sequoiaspread-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, program: program, record: record, regions: regions}
	for third := range 256 {
		network := fmt.Sprintf("127.213.%d", third)
		lock, err := net.Listen("tcp", network+".254:7999")
		if err == nil {
			f.network, f.lock = network, lock
			break
		}
	}
	if f.lock == nil {
		return nil, errors.New("no loopback network is free")
	}
	f.list = &instanceList{fleet: f}
	if err := f.list.serve(f.address(listHost, portList)); err != nil {
		return nil, err
	}
	return f, nil
}

func (f *fleet) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", f.network, host, port)
}

func zoneOf(region string) string { return region + "-a" }

// addMachines adds one core machine in each region, and frontsPerRegion machines that callers reach in each.
func (f *fleet) addMachines(frontsPerRegion int) error {
	for i, region := range f.regions {
		p, err := f.addMachine("core-"+region, "coordinator", region, 1+i)
		if err != nil {
			return err
		}
		f.core = append(f.core, p)
	}
	for i, region := range f.regions {
		for n := range frontsPerRegion {
			p, err := f.addMachine(fmt.Sprintf("front-%s-%d", region, n+1), "entry", region, 11+i*frontsPerRegion+n)
			if err != nil {
				return err
			}
			f.fronts = append(f.fronts, p)
		}
	}
	return nil
}

func (f *fleet) addMachine(name, role, region string, host int) (*process, error) {
	p := &process{fleet: f, name: name, role: role, region: region, host: host, logPath: logFile(f.dir, name)}
	p.settings = filepath.Join(f.dir, name+".yaml")
	return p, p.writeSettings(true)
}

// writeSettings writes the settings file. JSON is a subset of YAML.
func (p *process) writeSettings(bootstrap bool) error {
	f := p.fleet
	zones := map[string]string{}
	for _, region := range f.regions {
		zones[zoneOf(region)] = region
	}
	class, serves, disk := "front", []string{"front"}, 0
	var dataDir any
	listen := map[string]string{"front": p.address(portFront), "ready": p.address(portReady)}
	if p.role == "coordinator" {
		class, serves, disk = "core", []string{"control", "directory"}, 128
		dataDir = filepath.Join(f.dir, p.name)
		listen = map[string]string{"control": p.address(portControl), "directory": p.address(portDirectory)}
	}
	var seeds []string
	for i := range f.regions {
		seeds = append(seeds, f.address(1+i, portControl))
	}
	fields := map[string]any{
		"node_name": p.name, "role": p.role, "machine_class": class, "serves": serves,
		"ip": fmt.Sprintf("%s.%d", f.network, p.host), "zone": zoneOf(p.region), "region": p.region, "zones": zones,
		"listen": listen, "internal_ports": []int{portInternal, portInternal + 15}, "seed_addrs": seeds,
		"bootstrap": bootstrap, "counts_as_fault": class == "core",
		"limits": map[string]any{
			"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": disk,
		},
		"data_dir": dataDir, "discovery": "cloud_api", "entry_mode": "directory", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 1},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 5000, "ack_ms": 6000, "catch_up_s": 4, "drain_ms": 5000,
			"grace_s": graceSeconds, "loss_slack_ms": 200, "config_apply_ms": 3000, "downgrade_slack_ms": 250,
			"max_stretch_ms": 8000, "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_extra": 54,
			"cold_overshoot": 1.5, "cold_slack": 3, "evacuate_ms": 5000, "recovery_s": 12, "pass_ms": 600,
			"cache_window_s": 10, "ttl_max_s": 5,
		},
		"config_mode": "highest",
		"cloud_api": map[string]any{
			"address": f.address(listHost, portList), "rate_per_s": 44.0, "duties": []string{}, "max_lag_ms": 800,
		},
	}
	text, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, text, 0o600)
}

func (f *fleet) processes() []*process {
	return append(append([]*process{}, f.core...), f.fronts...)
}

// start starts all machines and the desired state, and waits until all fronts are ready.
func (f *fleet) start(state desiredState) error {
	for _, p := range f.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	operator := &operator{fleet: f}
	if !operator.order("POST", "/Config.Put", state.text()) {
		return errors.New("the first desired state was not accepted")
	}
	for _, p := range f.processes() {
		// Bootstrap is true only at the first start of the whole system.
		if err := p.writeSettings(false); err != nil {
			return err
		}
	}
	return f.awaitReady(20 * time.Second)
}

func (f *fleet) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, p := range f.fronts {
		for !ready(p) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func ready(p *process) bool {
	status, _ := call("GET", p.address(portReady), "/readiness", "", time.Second)
	return status == 200
}

// end ends all processes that the harness started.
func (f *fleet) end() {
	for _, p := range f.processes() {
		if p.command != nil && p.running() {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			<-p.exited
		}
	}
	_ = f.lock.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

var leaderPattern = regexp.MustCompile(`"msg":"consensus role changed".*"role":"([a-z-]+)","term":(\d+)`)

// leader returns the core machine whose log says that it leads in the latest term.
func (f *fleet) leader() *process {
	var leader *process
	var highest int
	for _, p := range f.core {
		for _, match := range leaderPattern.FindAllStringSubmatch(p.log(), -1) {
			var term int
			_, _ = fmt.Sscan(match[2], &term)
			if match[1] == "leader" && term > highest {
				leader, highest = p, term
			}
		}
	}
	return leader
}
