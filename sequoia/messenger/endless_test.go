package messenger

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// Guards against a peer whose bytes never end being read without limit, and against a call that waits for them until
// its deadline.
func TestReplyWithoutEndIsBounded(t *testing.T) {
	for name, parts := range map[string][2]string{
		"no reply":      {"", "x"},
		"header fields": {"", "A: b\r\n"},
		"body":          {"Content-Length: 4000000000\r\n\r\n\"", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			const size, kernelBytes = 96 << 20, 16 << 20
			var written atomic.Int64
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, parts[0])
				block := strings.Repeat(parts[1], 32<<10/len(parts[1]))
				for written.Load() < size && err == nil {
					var n int
					n, err = io.WriteString(conn, block)
					written.Add(int64(n))
				}
				_, _ = io.Copy(io.Discard, conn)
			}()
			client := NewClient(ClientConfig{Address: netip.MustParseAddrPort(listener.Addr().String()), Logger: logrus.New()})
			defer func() { _ = client.Close() }()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			err = client.Call(ctx, "any", struct{}{}, nil)
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err(), "the call waited for its deadline")
			assert.Assert(t, written.Load() <= maxMessageBytes+kernelBytes, "%d bytes", written.Load())
		})
	}
}
