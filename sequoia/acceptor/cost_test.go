package acceptor

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/forwarder"
)

// Guards against header fields that cost more memory than is charged for them, once parsed and copied for forwarding.
func TestHeaderLinesCostNoMoreThanCharged(t *testing.T) {
	for name, field := range map[string]func(i int) string{
		"same name":       func(int) string { return "a:\r\n" },
		"same, bare LF":   func(int) string { return "a:\n" },
		"different names": func(i int) string { return fmt.Sprintf("%x:\n", i) },
		"two values":      func(i int) string { return fmt.Sprintf("%x:\n", i/2) },
	} {
		t.Run(name, func(t *testing.T) {
			var text strings.Builder
			text.WriteString("GET / HTTP/1.1\r\nHost: x\r\n")
			for i := 0; text.Len() < 16<<10; i++ {
				text.WriteString(field(i))
			}
			text.WriteString("\r\n")
			var scanner headerScanner
			assert.Assert(t, scanner.scan([]byte(text.String())))
			used := allocatedBytes(func() any {
				request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text.String())))
				assert.NilError(t, err)
				header := http.Header{}
				forwarder.CopyHeader(header, request.Header)
				assert.NilError(t, header.Write(io.Discard))
				return []any{request, header}
			})
			charged := scanner.bytes + scanner.lines*headerLineBytes
			t.Logf("%d lines: %d bytes allocated, %d charged, %d a line", scanner.lines, used, charged, (used-scanner.bytes)/scanner.lines)
			assert.Assert(t, used <= charged, "%d bytes allocated, %d charged", used, charged)
		})
	}
}

// allocatedBytes returns what a function allocates, with what is garbage when it returns.
func allocatedBytes(run func() any) int64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	result := run()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return int64(after.TotalAlloc - before.TotalAlloc)
}
