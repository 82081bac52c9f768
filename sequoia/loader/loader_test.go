package loader

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against ignoring a misspelt key, which would leave a process with a default address.
func TestLoad(t *testing.T) {
	settings, err := Load(writeSettings(t, "vm = \"a-1\"\nzone = \"a\"\n[[address-overrides]]\nfrom = \"127.0.0.1:1\"\nto = \"127.0.0.1:2\"\n"))
	assert.NilError(t, err)
	assert.Equal(t, len(settings.Overrides()), 1)
	_, err = Load(writeSettings(t, "vm = \"a-1\"\nzone = \"a\"\ncallers-address = \"127.0.0.1:1\"\n"))
	assert.Assert(t, err != nil && strings.Contains(err.Error(), "callers-address"))
	_, err = Load(writeSettings(t, "vm = \"a-1\"\n"))
	assert.ErrorContains(t, err, "zone")
}
