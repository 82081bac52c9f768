package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"net/netip"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/configserver"
	"sequoiaspread.example/sequoia/loader"
	"sequoiaspread.example/sequoia/parser"
	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/replicator"
)

const (
	testKey = "a-key-for-tests-only"
	// waitTimeout is the limit of each wait for a condition; it covers two elections on a busy machine.
	waitTimeout = 30 * time.Second
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// runningController is a started controller of a test cluster.
type runningController struct {
	*controller
	cancel context.CancelFunc
	done   chan error
}

// cluster runs the controllers of the shipped document on loopback addresses that no other cluster uses.
type cluster struct {
	t        testing.TB
	folder   string
	document string
	settings map[string]*loader.Settings
	running  map[string]*runningController
}

const (
	// networks is the number of clusters that can run concurrently in one test process.
	networks = 6
	// networkSize is the number of addresses of one cluster; the shipped document needs 32.
	networkSize = 40
)

var (
	// testAddressPrefix is the address prefix of this test process, so that concurrent runs do not share addresses.
	testAddressPrefix = fmt.Sprintf("127.%d.%d", 100+os.Getpid()>>8&0x3f, os.Getpid()&0xff)
	freeNetworks      = make(chan int, networks)
)

func init() {
	for network := range networks {
		freeNetworks <- network
	}
}

// relocateDocument moves the 6 controllers of the shipped document to the addresses of a network. It keeps only the
// first of them if count is 1, and all of them otherwise.
func relocateDocument(shipped string, network, count int) string {
	address := regexp.MustCompile(`127\.10\.(\d)\.(\d)`)
	document := address.ReplaceAllStringFunc(shipped, func(text string) string {
		zone, vm := int(text[len(text)-3]-'0'), int(text[len(text)-1]-'0')
		return fmt.Sprintf("%s.%d", testAddressPrefix, network*networkSize+zone*10+vm)
	})
	if count > 1 {
		return document
	}
	first, _, _ := strings.Cut(document, "voter = true")
	rest := strings.TrimPrefix(document, first)
	others := regexp.MustCompile(`(?m)^controller-address = .*\n(voter = true\n)?`)
	return first + others.ReplaceAllString(rest, "")
}

// newCluster prepares the first count (1 or 6) controllers of the shipped document without starting them.
func newCluster(t testing.TB, count int) *cluster {
	t.Helper()
	shipped, err := os.ReadFile(filepath.Join("..", "deployments", "nile-paws.toml"))
	assert.NilError(t, err)
	network := <-freeNetworks
	t.Cleanup(func() { freeNetworks <- network })
	document := relocateDocument(string(shipped), network, count)
	c := &cluster{t: t, folder: t.TempDir(), document: document, settings: map[string]*loader.Settings{}, running: map[string]*runningController{}}
	assert.NilError(t, os.WriteFile(filepath.Join(c.folder, "key"), []byte(testKey+"\n"), 0o600))
	assert.NilError(t, os.WriteFile(filepath.Join(c.folder, "document.toml"), []byte(document), 0o600))
	parsed, err := parser.Parse("document", []byte(document))
	assert.NilError(t, err)
	var controllers []netip.AddrPort
	for _, vm := range parsed.VMs {
		if vm.HasController() {
			controllers = append(controllers, vm.ControllerAddress.AddrPort)
		}
	}
	for _, vm := range parsed.VMs {
		if vm.HasController() {
			ip := vm.ControllerAddress.Addr()
			c.settings[vm.Name] = &loader.Settings{
				VM: vm.Name, Zone: vm.Zone, ControllerAddress: vm.ControllerAddress.AddrPort,
				AdminAddress: netip.AddrPortFrom(ip, 7093), OperatorAddress: netip.AddrPortFrom(ip, 7091),
				OperatorKeyFile: filepath.Join(c.folder, "key"), Controllers: controllers, DataFolder: filepath.Join(c.folder, vm.Name),
			}
		}
	}
	assert.Equal(t, len(c.settings), count)
	t.Cleanup(c.stopAll)
	return c
}

func (c *cluster) startAll() {
	c.t.Helper()
	for vm, settings := range c.settings {
		assert.NilError(c.t, initialise(context.Background(), settings, filepath.Join(c.folder, "document.toml")))
		c.start(vm)
	}
	c.leader()
}

func testLogger() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

// start runs a controller; each prepare function may replace a component before that.
func (c *cluster) start(vm string, prepare ...func(*controller)) *runningController {
	c.t.Helper()
	assembled, err := newController(c.settings[vm], testLogger())
	assert.NilError(c.t, err)
	for _, prepareStep := range prepare {
		prepareStep(assembled)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningController{controller: assembled, cancel: cancel, done: make(chan error, 1)}
	go func() { r.done <- assembled.run(ctx) }()
	c.running[vm] = r
	return r
}

func (c *cluster) stop(vm string) {
	c.t.Helper()
	r := c.running[vm]
	r.cancel()
	assert.NilError(c.t, <-r.done)
	delete(c.running, vm)
}

// stopAll stops all controllers concurrently, so that leadership is not transferred from each to the next.
func (c *cluster) stopAll() {
	for _, r := range c.running {
		r.cancel()
	}
	for _, r := range c.running {
		assert.Check(c.t, <-r.done)
	}
	clear(c.running)
}

func (c *cluster) eventually(description string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(c.t, time.Now().Before(end), "waited %v for: %s", waitTimeout, description)
	}
}

// leader waits until a running controller is the leader and has committed its whole log, and returns it.
func (c *cluster) leader() *runningController {
	c.t.Helper()
	var found *runningController
	c.eventually("a leader", func() bool {
		for _, r := range c.running {
			status := r.node.consensus.Status()
			if status.Role == replicator.RoleLeader && status.Commit == status.LastIndex {
				found = r
				return true
			}
		}
		return false
	})
	return found
}

// otherVoter returns a running voter other than the given one.
func (c *cluster) otherVoter(excluded *runningController) *runningController {
	for _, r := range c.running {
		if r != excluded && r.node.consensus.Status().Membership.IsVoter(r.node.id) {
			return r
		}
	}
	c.t.Fatal("no other voter runs")
	return nil
}

// documentVersion returns the document with the given version number and a leading comment.
func (c *cluster) documentVersion(number uint64, comment string) string {
	return "# " + comment + "\n" + strings.Replace(c.document, "\nversion = 1\n", fmt.Sprintf("\nversion = %d\n", number), 1)
}

func (c *cluster) promote(r *runningController, number uint64, operator string) (promoter.Outcome, error) {
	return r.node.Promote(context.Background(), configserver.Promotion{
		Version: number, Document: []byte(c.documentVersion(number, operator)), Operator: operator,
		RequestID: fmt.Sprintf("%s-%d", operator, number), WithoutTrial: true,
	})
}

// request sends a request to the operator API and returns the status and the decoded body.
func (c *cluster) request(r *runningController, method, path, key string, body any) (int, map[string]any) {
	c.t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(c.t, err)
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+r.settings.OperatorAddress.String()+path, bytes.NewReader(data))
	assert.NilError(c.t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	assert.NilError(c.t, err)
	defer func() { assert.Check(c.t, response.Body.Close()) }()
	decoded := map[string]any{}
	_ = json.NewDecoder(response.Body).Decode(&decoded)
	return response.StatusCode, decoded
}

// tryRequest sends a request and returns the status, or the error of a failed connection.
func (c *cluster) tryRequest(r *runningController, method, path string, body any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+r.settings.OperatorAddress.String()+path, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, errors.Join(err, response.Body.Close())
}
