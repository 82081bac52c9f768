package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"sequoiaspread.example/sequoia/configserver"
	"sequoiaspread.example/sequoia/promoter"
	"sequoiaspread.example/sequoia/reporter"
)

const testKey = "a-key-of-many-characters"

func runCommand(t *testing.T, args ...string) (string, error) {
	t.Helper()
	keyFile := filepath.Join(t.TempDir(), "operator.key")
	assert.NilError(t, os.WriteFile(keyFile, []byte(testKey+"\n"), 0o600))
	var out bytes.Buffer
	root := newRootCommand(&out)
	root.SetErr(&out)
	root.SetArgs(append([]string{"--key-file", keyFile}, args...))
	err := root.ExecuteContext(context.Background())
	return out.String(), err
}

func startServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.Header.Get("Authorization") == "Bearer "+testKey)
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func writeReply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Guards against unnoticed changes of the help text, flags or exit codes, on which scripts depend.
func TestHelp(t *testing.T) {
	out, err := runCommand(t, "--help")
	assert.NilError(t, err)
	golden.Assert(t, out, "help.golden")
}

func TestValidate(t *testing.T) {
	out, err := runCommand(t, "validate", "../deployments/guild.toml")
	assert.NilError(t, err)
	golden.Assert(t, out, "validate.golden")
	broken := filepath.Join(t.TempDir(), "broken.toml")
	assert.NilError(t, os.WriteFile(broken, []byte("[environment]\nname = \"x\"\n"), 0o600))
	_, err = runCommand(t, "validate", broken)
	assert.Equal(t, exitCode(err), exitInvalid)
}

// Guards against exit codes that misreport whether a request had an effect.
func TestExitCodes(t *testing.T) {
	conflicting := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		winner := &promoter.Promotion{Version: 1, Operator: "other"}
		writeReply(w, http.StatusConflict, problem{Type: "urn:sequoiaspread:problem:conflict", Detail: "version is taken", Outcome: "not-run", Winner: winner})
	})
	_, err := runCommand(t, "promote", "../deployments/guild.toml", "--controller", conflicting)
	assert.Equal(t, exitCode(err), exitRefused)
	assert.ErrorContains(t, err, "promoted by other")
	_, err = runCommand(t, "promote", "../deployments/guild.toml", "--controller", "127.0.0.1:1")
	assert.Equal(t, exitCode(err), exitUnreachable)
	_, err = runCommand(t, "promote")
	assert.Equal(t, exitCode(err), exitUsage)
}

// Guards against a resend with a new request id, which could take effect twice, and against reporting a request as not
// received when one of the controllers may have received it.
func TestResendKeepsRequestID(t *testing.T) {
	var ids []string
	recordID := func(r *http.Request) {
		var body promotionRequest
		assert.Check(t, json.NewDecoder(r.Body).Decode(&body) == nil)
		ids = append(ids, body.RequestID)
	}
	failing := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		recordID(r)
		panic(http.ErrAbortHandler)
	})
	healthy := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		recordID(r)
		writeReply(w, http.StatusOK, promoter.Outcome{Result: promoter.ResultAccepted, Version: 1})
	})
	_, err := runCommand(t, "promote", "../deployments/guild.toml", "--controller", failing, "--controller", healthy)
	assert.NilError(t, err)
	assert.Equal(t, len(ids), 2)
	assert.Equal(t, ids[0], ids[1])
	_, err = runCommand(t, "promote", "../deployments/guild.toml", "--controller", failing, "--controller", "127.0.0.1:1")
	assert.Equal(t, exitCode(err), exitUnknown)
}

// Guards against showing a stale poll of a process, or none, if the process polls the controllers of another
// availability zone.
func TestStatus(t *testing.T) {
	address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		writeReply(w, http.StatusOK, configserver.Status{
			Member: "akl-a-1#1", Role: "leader", Leader: "akl-a-1#1", Term: 3, Version: 7, Voters: []string{"akl-a-1#1"},
			Views:   []promoter.View{{Zone: "akl-a", Number: 2, Epoch: 1, Primary: "akl-a-1#1", Members: []string{"akl-a-1#1", "akl-a-2#1"}}},
			Pollers: []configserver.Poller{{VM: "akl-a-3", Zone: "akl-a", Version: 6, Age: 1500 * time.Millisecond}},
		})
	})
	other := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		writeReply(w, http.StatusOK, configserver.Status{
			Member:  "wlg-a-1#1",
			Pollers: []configserver.Poller{{VM: "akl-a-3", Version: 0, Age: time.Minute}, {VM: "wlg-a-2", Zone: "wlg-a", Version: 7, Age: 200 * time.Millisecond}},
		})
	})
	out, err := runCommand(t, "status", "--controller", address, "--controller", "127.0.0.1:1", "--controller", other)
	assert.NilError(t, err)
	golden.Assert(t, out, "status.golden")
}

// Guards against a report that does not mention an availability zone that failed to respond.
func TestBurn(t *testing.T) {
	text, err := os.ReadFile("../deployments/guild.toml")
	assert.NilError(t, err)
	start := time.Now().Add(-10 * time.Minute).Truncate(time.Minute)
	buckets := []reporter.Bucket{{Key: reporter.Key{Service: "cordsage", Rank: "quick"}, VM: "akl-a-1", Start: start, Good: 90, Bad: 10}}
	address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/document" {
			writeReply(w, http.StatusOK, documentReply{Version: 1, Document: string(text)})
			return
		}
		writeReply(w, http.StatusOK, buckets)
	})
	htmlPath := filepath.Join(t.TempDir(), "burn.html")
	out, err := runCommand(t, "report", "burn", "--controller", address, "--controller", "127.0.0.1:1", "--html", htmlPath)
	assert.NilError(t, err)
	golden.Assert(t, out, "burn.golden")
	html, err := os.ReadFile(htmlPath)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(html, []byte("data:image/png;base64,iVBOR")))
}
