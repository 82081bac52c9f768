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
	// waitLimit bounds each wait for a condition; it covers two elections on a busy machine.
	waitLimit = 30 * time.Second
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// running is one controller of a test cluster.
type running struct {
	*controller
	cancel context.CancelFunc
	done   chan error
}

// cluster runs the controllers of the shipped document on loopback addresses of its own.
type cluster struct {
	t        testing.TB
	folder   string
	document string
	settings map[string]*loader.Settings
	running  map[string]*running
}

const (
	// networks is the number of clusters that can run at the same time in one test process.
	networks = 6
	// networkSize is the number of addresses of one cluster; the shipped document needs 32.
	networkSize = 40
)

var (
	// testAddress gives each test process addresses of its own, so that runs at the same time do not meet.
	testAddress  = fmt.Sprintf("127.%d.%d", 100+os.Getpid()>>8&0x3f, os.Getpid()&0xff)
	freeNetworks = make(chan int, networks)
)

func init() {
	for network := range networks {
		freeNetworks <- network
	}
}

// placeDocument moves the controllers of the shipped document to a network; of 6 controllers, count are kept.
func placeDocument(shipped string, network, count int) string {
	address := regexp.MustCompile(`127\.10\.(\d)\.(\d)`)
	document := address.ReplaceAllStringFunc(shipped, func(text string) string {
		zone, vm := int(text[len(text)-3]-'0'), int(text[len(text)-1]-'0')
		return fmt.Sprintf("%s.%d", testAddress, network*networkSize+zone*10+vm)
	})
	if count > 1 {
		return document
	}
	first, _, _ := strings.Cut(document, "voter = true")
	rest := strings.TrimPrefix(document, first)
	others := regexp.MustCompile(`(?m)^controller-address = .*\n(voter = true\n)?`)
	return first + others.ReplaceAllString(rest, "")
}

// newCluster prepares the controllers on the first VMs of the shipped document: count is 1 or 6.
func newCluster(t testing.TB, count int) *cluster {
	t.Helper()
	shipped, err := os.ReadFile(filepath.Join("..", "deployments", "nile-paws.toml"))
	assert.NilError(t, err)
	network := <-freeNetworks
	t.Cleanup(func() { freeNetworks <- network })
	document := placeDocument(string(shipped), network, count)
	c := &cluster{t: t, folder: t.TempDir(), document: document, settings: map[string]*loader.Settings{}, running: map[string]*running{}}
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

// start runs a controller; each prepare step may replace a part before it runs.
func (c *cluster) start(vm string, prepare ...func(*controller)) *running {
	c.t.Helper()
	made, err := newController(c.settings[vm], testLogger())
	assert.NilError(c.t, err)
	for _, step := range prepare {
		step(made)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{controller: made, cancel: cancel, done: make(chan error, 1)}
	go func() { r.done <- made.run(ctx) }()
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

// stopAll ends the controllers at once, without the hand-over of each to the next.
func (c *cluster) stopAll() {
	for _, r := range c.running {
		r.cancel()
	}
	for _, r := range c.running {
		assert.Check(c.t, <-r.done)
	}
	clear(c.running)
}

func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(c.t, time.Now().Before(end), "waited %v for: %s", waitLimit, what)
	}
}

// leader waits until one running controller leads and has committed in its term.
func (c *cluster) leader() *running {
	c.t.Helper()
	var found *running
	c.eventually("a leader", func() bool {
		for _, r := range c.running {
			status := r.node.agreement.Status()
			if status.Role == replicator.RoleLeader && status.Commit == status.LastIndex {
				found = r
				return true
			}
		}
		return false
	})
	return found
}

// other returns a running voter that is not the given one.
func (c *cluster) other(not *running) *running {
	for _, r := range c.running {
		if r != not && r.node.agreement.Status().Membership.IsVoter(r.node.id) {
			return r
		}
	}
	c.t.Fatal("no other voter runs")
	return nil
}

// version returns the document with another version number and operator comment.
func (c *cluster) version(number uint64, comment string) string {
	return "# " + comment + "\n" + strings.Replace(c.document, "\nversion = 1\n", fmt.Sprintf("\nversion = %d\n", number), 1)
}

func (c *cluster) promote(r *running, number uint64, operator string) (promoter.Outcome, error) {
	return r.node.Promote(context.Background(), configserver.Promotion{
		Version: number, Document: []byte(c.version(number, operator)), Operator: operator,
		RequestID: fmt.Sprintf("%s-%d", operator, number), WithoutTrial: true,
	})
}

// ask sends a request to the operators' interface and returns the status and the decoded body.
func (c *cluster) ask(r *running, method, path, key string, body any) (int, map[string]any) {
	c.t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(c.t, err)
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+r.settings.OperatorAddress.String()+path, bytes.NewReader(data))
	assert.NilError(c.t, err)
	request.Header.Set("Authorization", "Bearer "+key)
	client := &http.Client{Timeout: waitLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	assert.NilError(c.t, err)
	defer func() { assert.Check(c.t, response.Body.Close()) }()
	decoded := map[string]any{}
	_ = json.NewDecoder(response.Body).Decode(&decoded)
	return response.StatusCode, decoded
}

// try sends a request and returns the status, or the error of a connection that broke.
func (c *cluster) try(r *running, method, path string, body any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+r.settings.OperatorAddress.String()+path, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	client := &http.Client{Timeout: waitLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, errors.Join(err, response.Body.Close())
}
