package faults

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"sequoiaspread.example/loadtool/harness"
	"sequoiaspread.example/loadtool/session"
	"sequoiaspread.example/sequoia/parser"
)

const (
	smallDocument = "testdata/small.toml"
	startTimeout  = 20 * time.Second
	// convergenceTimeout is the specified time within which a configuration change is enforced everywhere.
	convergenceTimeout = 18 * time.Second
	// responseTimeout is the timeout of a request that must be answered despite a fault.
	responseTimeout = 15 * time.Second
	pollInterval    = 20 * time.Millisecond
	bookingTimeout  = 2 * time.Second
	// maxEnvironments limits the deployments that run at the same time, each with 17 processes.
	maxEnvironments = 3
)

// environmentSlots is a semaphore that holds one value for each running deployment.
var environmentSlots = make(chan struct{}, maxEnvironments)

// programFolder contains the programs under test.
var programFolder string

// proveVariable is set by the command prove. Without it the tests are skipped, because they start real processes and
// take about a minute.
const proveVariable = "SEQUOIA_PROVE"

func TestMain(m *testing.M) {
	if os.Getenv(proveVariable) == "" {
		fmt.Println("fault tests skipped; run make prove or set SEQUOIA_PROVE=1")
		os.Exit(0)
	}
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "sequoiaspread-faults-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	programFolder = folder
	for _, program := range []string{"gateway", "controller", "runner", "plainservice", "vmlist"} {
		command := exec.Command("go", "build", "-o", folder, ".")
		command.Dir = filepath.Join("..", "..", program)
		if output, err := command.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", program, err, output)
			return 1
		}
	}
	return m.Run()
}

// environment is a small deployment under test.
type environment struct {
	*harness.Fleet
	t       *testing.T
	links   *harness.Links
	callers map[string]*session.Caller
}

// option changes the configuration of an environment before it starts.
type option func(*harness.Config)

// withLinks inserts relays into the links that the filter selects.
func withLinks(filter func(from harness.Spec, to harness.Target) bool) option {
	return func(config *harness.Config) { config.Links = harness.NewLinks(filter) }
}

// newEnvironment starts a deployment and kills it at the end of the test. If the test failed, its logs are printed.
func newEnvironment(t *testing.T, options ...option) *environment {
	t.Helper()
	t.Parallel()
	environmentSlots <- struct{}{}
	t.Cleanup(func() { <-environmentSlots })
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	config := harness.Config{Bin: programFolder, Folder: t.TempDir(), Document: smallDocument}
	for _, change := range options {
		change(&config)
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	fleet, err := harness.New(ctx, config, logger)
	assert.NilError(t, err)
	env := &environment{Fleet: fleet, t: t, links: config.Links, callers: map[string]*session.Caller{}}
	t.Cleanup(env.close)
	assert.NilError(t, fleet.Start(ctx))
	for _, organisation := range []string{"north", "south"} {
		env.callers[organisation] = env.newCaller(organisation)
	}
	env.eventually("bookings work in each region", convergenceTimeout, func() bool {
		return env.bookingWorks("north") && env.bookingWorks("south")
	})
	return env
}

func (env *environment) close() {
	env.Kill()
	if env.links != nil {
		env.links.Close()
	}
	for _, caller := range env.callers {
		caller.Close()
	}
	if env.t.Failed() {
		env.printLogs()
	}
}

// printLogs prints all log lines above level info.
func (env *environment) printLogs() {
	files, _ := filepath.Glob(filepath.Join(env.Logs(), "*.log"))
	for _, file := range files {
		text, _ := os.ReadFile(file)
		for line := range strings.Lines(string(text)) {
			if !strings.Contains(line, `"level":"info"`) {
				env.t.Log(filepath.Base(file), strings.TrimSpace(line))
			}
		}
	}
}

func (env *environment) newCaller(organisation string) *session.Caller {
	var entries []session.Entry
	for _, vm := range env.Document.VMs {
		entries = append(entries, entryOf(vm))
	}
	return session.NewCaller(organisation, entries, func(string) []string { return env.Document.Zones() })
}

func entryOf(vm parser.VM) session.Entry {
	return session.Entry{VM: vm.Name, Address: vm.CallerAddress.AddrPort, Zone: vm.Zone}
}

func (env *environment) findVM(name string) parser.VM {
	env.t.Helper()
	vm, ok := env.Document.VM(name)
	assert.Assert(env.t, ok, name)
	return vm
}

func (env *environment) process(program harness.Program, vm string) *harness.Process {
	env.t.Helper()
	process, err := env.Process(program, vm)
	assert.NilError(env.t, err)
	return process
}

// restart starts a process that has exited and waits until it is ready.
func (env *environment) restart(process *harness.Process) {
	env.t.Helper()
	ctx, cancel := context.WithTimeout(env.t.Context(), startTimeout)
	defer cancel()
	assert.NilError(env.t, process.Start())
	assert.NilError(env.t, env.WaitReady(ctx, process))
}

func newBooking() session.Call {
	return session.Call{Service: "desk", Method: http.MethodPost, Path: "/bookings", Key: uuid.Must(uuid.NewV7()).String(), Body: []byte("{}")}
}

// bookAt makes one booking attempt through an entry VM.
func (env *environment) bookAt(organisation, vm string, call session.Call, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(env.t.Context(), timeout)
	defer cancel()
	_, err := env.callers[organisation].CallAt(ctx, entryOf(env.findVM(vm)), call, time.Now())
	return err
}

// book retries a booking of the organisation north until it is answered or fails with a final outcome.
func (env *environment) book(call session.Call) error {
	ctx, cancel := context.WithTimeout(env.t.Context(), responseTimeout)
	defer cancel()
	_, err := env.callers["north"].Call(ctx, call)
	return err
}

func (env *environment) bookingWorks(organisation string) bool {
	home := map[string]string{"north": "zone-a-1", "south": "zone-c-1"}[organisation]
	return env.bookAt(organisation, home, newBooking(), bookingTimeout) == nil
}

// chatAt sends a unique chat request through an entry VM and checks the complete response.
func (env *environment) chatAt(organisation, vm string) error {
	return env.chatWith(organisation, vm, uuid.NewString(), responseTimeout)
}

// chatWith sends a streamed chat request whose prompt is determined by the marker.
func (env *environment) chatWith(organisation, vm, marker string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(env.t.Context(), timeout)
	defer cancel()
	caller := session.NewCaller(organisation, []session.Entry{entryOf(env.findVM(vm))}, func(string) []string { return []string{env.findVM(vm).Zone} })
	defer caller.Close()
	_, err := caller.Chat(ctx, session.Chat{
		Service: "chat", Model: "small-chat", Marker: marker, Words: 20, MaxTokens: 20, Stream: true,
	})
	return err
}

// executions returns how many times the plain services executed a key.
func (env *environment) executions(key string) int {
	env.t.Helper()
	executions, err := env.Executions()
	assert.NilError(env.t, err)
	count := 0
	for _, execution := range executions {
		if execution.Key == key {
			count++
		}
	}
	return count
}

// outcome returns the outcome of a key as an entry VM reports it, or "" if the request fails.
func (env *environment) outcome(organisation, vm, key string) string {
	ctx, cancel := context.WithTimeout(env.t.Context(), bookingTimeout)
	defer cancel()
	outcome, err := env.callers[organisation].Outcome(ctx, entryOf(env.findVM(vm)), key)
	if err != nil {
		return ""
	}
	return outcome
}

// eventually waits until a condition holds, and fails the test on a timeout.
func (env *environment) eventually(condition string, timeout time.Duration, holds func() bool) {
	env.t.Helper()
	deadline := time.Now().Add(timeout)
	for !holds() {
		if time.Now().After(deadline) {
			env.t.Fatalf("timed out after %s: %s", timeout, condition)
		}
		time.Sleep(pollInterval)
	}
}

// documentWith returns the current document with another version and weight; the weight distinguishes documents of the
// same version.
func (env *environment) documentWith(version uint64, weight string) string {
	env.t.Helper()
	text, err := os.ReadFile(env.DocumentFile())
	assert.NilError(env.t, err)
	changed := strings.Replace(string(text), "version = 1", fmt.Sprintf("version = %d", version), 1)
	return strings.Replace(changed, "weight = 1.0", "weight = "+weight, 1)
}

// promote sends a promotion to the controller on a VM.
func (env *environment) promote(vm string, version uint64, weight, requestID string) (harness.PromotionReply, error) {
	return env.Promote(env.t.Context(), env.findVM(vm), harness.Promotion{
		Version: version, Document: env.documentWith(version, weight), Operator: "operator", RequestID: requestID, WithoutTrial: true,
	})
}

// versionAt returns the document version that a process enforces, or 0 if it cannot be read.
func (env *environment) versionAt(program harness.Program, vm string) uint64 {
	version, err := env.Version(env.t.Context(), program, env.findVM(vm))
	if err != nil {
		return 0
	}
	return version
}

// enforcedEverywhere reports whether all running gateways and controllers enforce a version.
func (env *environment) enforcedEverywhere(version uint64) bool {
	for _, program := range []harness.Program{harness.ProgramGateway, harness.ProgramController} {
		for _, process := range env.Processes(program) {
			if process.Running() && env.versionAt(program, process.Spec.VM) != version {
				return false
			}
		}
	}
	return true
}

func linksBetween(fromMatches, toMatches func(harness.Spec) bool) func(harness.Spec, harness.Target) bool {
	return func(from harness.Spec, to harness.Target) bool { return fromMatches(from) && toMatches(to.Spec) }
}

func isProgram(program harness.Program) func(harness.Spec) bool {
	return func(spec harness.Spec) bool { return spec.Program == program }
}

// crossesZones selects the links between availability zones.
func crossesZones(from harness.Spec, to harness.Target) bool {
	return from.Zone != to.Spec.Zone
}
