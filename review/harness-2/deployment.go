// Package harness starts the project's programs as processes on loopback addresses, with stand-ins for the platform, the
// operator, the runners and the clients.
package harness

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the processes and stand-ins; each machine has an address of its own.
const (
	PortReady     = 8140
	PortList      = 8142
	PortDirectory = 8143
	PortFront     = 8144
	PortControl   = 8146
	PortRunner    = 8080
	portInternal  = 7660
)

// ErrCouldNotRun means that the case says nothing, since the deployment did not come up.
var ErrCouldNotRun = errors.New("the case could not run")

// Machine is one machine of the system.
type Machine struct {
	Name, Role, Zone, Region string
	Host                     int
	command                  *exec.Cmd
	exited                   chan struct{}
}

// Deployment is a small deployment of the system.
type Deployment struct {
	Record   *Record
	Platform *Platform
	Machines []*Machine
	// MemoryMB is the memory of an entry machine in its settings.
	MemoryMB int
	// ProcessorShare is the share of one processor that each process may use, or 0 for no limit.
	ProcessorShare float64
	// Zones maps each zone to its region.
	Zones map[string]string

	dir, network string
	lock         net.Listener
}

// New reserves a loopback network and a temporary folder.
func New(record *Record, zones map[string]string) (*Deployment, error) {
	d := &Deployment{Record: record, Zones: zones, MemoryMB: 284}
	for third := range 256 {
		network := fmt.Sprintf("127.231.%d", third)
		lock, err := net.Listen("tcp", network+".254:7999")
		if err == nil {
			d.network, d.lock = network, lock
			break
		}
	}
	if d.lock == nil {
		return nil, fmt.Errorf("%w: no free loopback network", ErrCouldNotRun)
	}
	var err error
	if d.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrCouldNotRun, err)
	}
	d.Platform = &Platform{}
	if err := d.Serve(250, PortList, d.Platform); err != nil {
		return nil, err
	}
	return d, nil
}

// Address returns a loopback address of a machine.
func (d *Deployment) Address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", d.network, host, port)
}

// Serve serves a stand-in for the rest of the case.
func (d *Deployment) Serve(host, port int, handler http.Handler) error {
	socket, err := net.Listen("tcp", d.Address(host, port))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrCouldNotRun, err)
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(socket) }()
	return nil
}

// Start starts the machines with empty disks.
func (d *Deployment) Start(machines ...*Machine) error {
	d.Machines = append(d.Machines, machines...)
	for _, m := range machines {
		if err := d.StartProcess(m, true); err != nil {
			return err
		}
	}
	return nil
}

// StartProcess starts the process of a machine with the command of the deploy file.
func (d *Deployment) StartProcess(m *Machine, bootstrap bool) error {
	folder := filepath.Join(d.dir, m.Name)
	settings := filepath.Join(folder, "settings.yaml")
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o700); err != nil {
		return fmt.Errorf("%w: %v", ErrCouldNotRun, err)
	}
	if err := os.WriteFile(settings, []byte(d.settings(m, filepath.Join(folder, "data"), bootstrap)), 0o600); err != nil {
		return fmt.Errorf("%w: %v", ErrCouldNotRun, err)
	}
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrCouldNotRun, err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command("target/sequoiaspread", m.Role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "SEQUOIASPREAD_NODE_FILE=" + settings}
	if d.ProcessorShare > 0 {
		command.Env = append(command.Env, "GOMAXPROCS=1")
	}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("%w: %v", ErrCouldNotRun, err)
	}
	m.command, m.exited = command, make(chan struct{})
	exited := m.exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	if d.ProcessorShare > 0 {
		go holdToShare(command.Process, exited, d.ProcessorShare)
	}
	return nil
}

// holdToShare keeps a process within a share of one processor: it is stopped for some milliseconds whenever it has had
// more than its share, as a scheduler would.
func holdToShare(process *os.Process, exited <-chan struct{}, share float64) {
	// burst is the processor time that a process may use at once.
	const burst = 0.1
	start, stopped := time.Now(), false
	for {
		select {
		case <-exited:
			return
		case <-time.After(5 * time.Millisecond):
		}
		allowed := time.Since(start).Seconds()*share + burst
		used := ProcessorSeconds(process.Pid)
		switch {
		case !stopped && used > allowed:
			_ = process.Signal(syscall.SIGSTOP)
			stopped = true
		case stopped && used <= allowed:
			_ = process.Signal(syscall.SIGCONT)
			stopped = false
		}
		// What a process leaves unused is lost.
		if unused := allowed - burst - used; unused > 0 {
			start = start.Add(time.Duration(unused / share * float64(time.Second)))
		}
	}
}

// ProcessorSeconds returns the processor time that a process has had.
func ProcessorSeconds(pid int) float64 {
	const ticksPerSecond = 100
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return float64(user+system) / ticksPerSecond
}

func (d *Deployment) settings(m *Machine, dataDir string, bootstrap bool) string {
	core := m.Role == "coordinator"
	var b strings.Builder
	line := func(format string, values ...any) { fmt.Fprintf(&b, format+"\n", values...) }
	line("node_name: %q", m.Name)
	line("role: %q", m.Role)
	line("ip: %q", fmt.Sprintf("%s.%d", d.network, m.Host))
	line("zone: %q", m.Zone)
	line("region: %q", m.Region)
	line("zones:")
	for zone, region := range d.Zones {
		line("  %s: %q", zone, region)
	}
	line("listen:")
	if core {
		line("  control: %q", d.Address(m.Host, PortControl))
		line("  directory: %q", d.Address(m.Host, PortDirectory))
	} else {
		line("  front: %q", d.Address(m.Host, PortFront))
		line("  ready: %q", d.Address(m.Host, PortReady))
	}
	line("internal_ports: [%d, %d]", portInternal, portInternal+15)
	line("seed_addrs:")
	for host := 1; host <= 3; host++ {
		line("  - %q", d.Address(host, PortControl))
	}
	line("bootstrap: %v", bootstrap)
	line("counts_as_fault: %v", core)
	memory, disk := d.MemoryMB, 0
	if core {
		memory, disk = 280, 128
		line("data_dir: %q", dataDir)
	} else {
		line("data_dir: null")
	}
	line("limits: {cpu_share: 0.4, cpu_cores: 1, memory_mb: %d, max_fds: 4100, link_mbps: 1000.0, disk_mb: %d}", memory, disk)
	line("discovery: \"cloud_api\"")
	line("entry_mode: \"directory\"")
	line("heartbeat_ms: 1200")
	line("contracts: [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"engine\", \"stream\", \"places\"]")
	line("fault_tolerance: {machines: 1, zones: 1, regions: 1}")
	line("bounds: {seed_lag_s: 3, addr_reuse_s: 2, contact_ms: 5000, ack_ms: 6000, catch_up_s: 4, drain_ms: 5000, grace_s: 8,")
	line("  loss_slack_ms: 200, config_apply_ms: 3000, downgrade_slack_ms: 250, max_stretch_ms: 8000, retry_budget_ratio: 0.2,")
	line("  retry_window_s: 10, retry_extra: 56, cold_overshoot: 1.5, cold_slack: 3, evacuate_ms: 5000, recovery_s: 12,")
	line("  pass_ms: 600, cache_window_s: 10, ttl_max_s: 5}")
	line("config_mode: \"highest\"")
	line("cloud_api: {address: %q, rate_per_s: 44.0, duties: [], max_lag_ms: 800}", d.Address(250, PortList))
	return b.String()
}

// Signal sends a signal to the process of a machine.
func (m *Machine) Signal(signal syscall.Signal) { _ = m.command.Process.Signal(signal) }

// PID returns the process ID of a machine.
func (m *Machine) PID() int { return m.command.Process.Pid }

// Exited reports whether the process of a machine has ended.
func (m *Machine) Exited() bool {
	select {
	case <-m.exited:
		return true
	default:
		return false
	}
}

// AwaitExit waits until the process of a machine has ended.
func (m *Machine) AwaitExit() { <-m.exited }

// Put sends a desired state until one of the core machines acknowledges it.
func (d *Deployment) Put(text string) error {
	for attempt := range 60 {
		status, _ := d.call(http.MethodPost, d.Address(1+attempt%3, PortControl), "/Config.Put", text)
		if status == http.StatusOK {
			return nil
		}
		if status >= 400 && status < 500 {
			return fmt.Errorf("%w: the desired state was refused with %d", ErrCouldNotRun, status)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%w: the desired state was not acknowledged", ErrCouldNotRun)
}

// AwaitReady waits until all entry machines are ready.
func (d *Deployment) AwaitReady() error {
	for _, m := range d.Machines {
		if m.Role != "entry" {
			continue
		}
		ready := false
		for end := time.Now().Add(15 * time.Second); !ready && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			status, _ := d.call(http.MethodGet, d.Address(m.Host, PortReady), "/readiness", "")
			ready = status == http.StatusOK
		}
		if !ready {
			return fmt.Errorf("%w: %s is not ready", ErrCouldNotRun, m.Name)
		}
	}
	return nil
}

func (d *Deployment) call(method, address, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, ""
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// Stop ends all processes. With REVIEW_KEEP=1 the logs stay in the temporary folder.
func (d *Deployment) Stop() {
	for _, m := range d.Machines {
		if m.command == nil || m.Exited() {
			continue
		}
		m.Signal(syscall.SIGCONT)
		_ = m.command.Process.Kill()
		m.AwaitExit()
	}
	_ = d.lock.Close()
	if os.Getenv("REVIEW_KEEP") == "1" {
		fmt.Println("logs:", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

// Record writes what was sent, run and answered.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record of a case.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrCouldNotRun, err)
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Printf adds a line with the time since the start.
func (r *Record) Printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  "+format+"\n", append([]any{time.Since(r.start).Seconds()}, values...)...)
}

// Trouble reports whether the disruption takes place.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func Main(run func(record *Record) (broken bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Println("usage: case RECORD")
		os.Exit(2)
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	record.Printf("disruption: %v", Trouble())
	broken, err := run(record)
	switch {
	case err != nil:
		record.Printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		record.Printf("result: the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	record.Printf("result: the rule held")
	fmt.Println("the rule held")
}
