package parser

import (
	"errors"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func readDeployment(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile("../../deployments/" + name + ".toml")
	assert.NilError(t, err)
	return string(text)
}

// Guards against shipping a document that fails validation.
func TestShippedDocumentsAreValid(t *testing.T) {
	for _, name := range []string{"nile-paws", "guild"} {
		_, err := ParseFile("../../deployments/" + name + ".toml")
		assert.NilError(t, err)
	}
}

// Guards against reporting only the first fault, or a fault without its line and the valid values.
func TestAllFaultsInOnePass(t *testing.T) {
	text := readDeployment(t, "nile-paws")
	text = strings.Replace(text, `zone-delay = "4ms"`, `zone-delay = 4`, 1)
	text = strings.Replace(text, `max-wait = "1s"`, "max-wait = \"1s\"\nmax-weight = 3", 1)
	text = strings.Replace(text, `default-rank = "urgent"`, `default-rank = "urgnt"`, 1)
	text = strings.Replace(text, `regions = ["upper-egypt"]`, `zones = ["cairo-a"]`+"\n\n[[residency-rules]]\nname = \"aswan-only\"\nservices = [\"kiosk-core\"]\nzones = [\"aswan-a\"]", 1)
	_, err := Parse("paws.toml", []byte(text))
	var invalid *Error
	assert.Assert(t, errors.As(err, &invalid))
	golden.Assert(t, invalid.Error()+"\n", "all-faults.golden")
}

// Guards against a diff that matches entities by their order instead of by name.
func TestDiffMatchesByName(t *testing.T) {
	before, err := Parse("a", []byte(readDeployment(t, "guild")))
	assert.NilError(t, err)
	after, err := Parse("b", []byte(strings.Replace(readDeployment(t, "guild"), "version = 1", "version = 2", 1)))
	assert.NilError(t, err)
	after.Ranks[0], after.Ranks[1] = after.Ranks[1], after.Ranks[0]
	assert.DeepEqual(t, Diff(before, after), []Change{{Key: "environment.version", Before: "1", After: "2"}})
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"nile-paws", "guild"} {
		text, err := os.ReadFile("../../deployments/" + name + ".toml")
		assert.NilError(f, err)
		f.Add(text)
	}
	f.Add([]byte("[[vms]]\nname = 3\n"))
	f.Add([]byte("a.b = [[[\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := Parse("fuzz", text)
		assert.Assert(t, (doc == nil) != (err == nil))
	})
}

// Guards against moving an organisation to another home zone: a request whose idempotency key is recorded in the old
// zone could run again in the new one.
func TestHomeZoneCannotChange(t *testing.T) {
	before, err := Parse("a", []byte(readDeployment(t, "guild")))
	assert.NilError(t, err)
	after, err := Parse("b", []byte(strings.Replace(readDeployment(t, "guild"), `home-zone = "wlg-a"`, `home-zone = "akl-a"`, 1)))
	assert.NilError(t, err)
	assert.NilError(t, CheckTransition(before, before))
	assert.ErrorContains(t, CheckTransition(before, after), `"members-wellington" was "wlg-a"`)
}
