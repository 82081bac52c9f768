package messenger

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/loader"
)

// writeCertificate writes a self-signed certificate for the loopback address.
func writeCertificate(t *testing.T, name string) loader.TLSSettings {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	encoded, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	folder := t.TempDir()
	settings := loader.TLSSettings{
		CertificateFile: filepath.Join(folder, "certificate.pem"), KeyFile: filepath.Join(folder, "key.pem"),
		CAFile: filepath.Join(folder, "certificate.pem"),
	}
	writePEM(t, settings.CertificateFile, "CERTIFICATE", der)
	writePEM(t, settings.KeyFile, "EC PRIVATE KEY", encoded)
	return settings
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	assert.NilError(t, os.WriteFile(path, text, 0o600))
}

// Guards against a process without a certificate of the environment calling internal methods.
func TestMutualTLS(t *testing.T) {
	config, err := writeCertificate(t, "environment").Config()
	assert.NilError(t, err)
	untrusted, err := writeCertificate(t, "stranger").Config()
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	calls := 0
	handler := HandlerFunc(func(context.Context, string, json.RawMessage) (any, error) {
		calls++
		return "ok", nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- NewServer(ServerConfig{Handler: handler, Logger: quietLogger(), TLS: config}).Serve(ctx, listener)
	}()
	address := netip.MustParseAddrPort(listener.Addr().String())
	trusted := NewClient(ClientConfig{Address: address, Logger: quietLogger(), TLS: config})
	assert.NilError(t, trusted.Call(ctx, "anything", nil, nil))
	for _, clientConfig := range []ClientConfig{{Address: address, Logger: quietLogger(), TLS: untrusted}, {Address: address, Logger: quietLogger()}} {
		client := NewClient(clientConfig)
		callCtx, cancelCall := context.WithTimeout(ctx, time.Second)
		assert.Assert(t, client.Call(callCtx, "anything", nil, nil) != nil)
		cancelCall()
		assert.NilError(t, client.Close())
	}
	assert.Equal(t, calls, 1)
	assert.NilError(t, trusted.Close())
	cancel()
	assert.NilError(t, <-done)
}
