package loader

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/netip"
	"os"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// Settings are the contents of the settings file of one process.
type Settings struct {
	VM                string            `toml:"vm"`
	Zone              string            `toml:"zone"`
	CallerAddress     netip.AddrPort    `toml:"caller-address"`
	InternalAddress   netip.AddrPort    `toml:"internal-address"`
	RPCAddress        netip.AddrPort    `toml:"rpc-address"`
	AdminAddress      netip.AddrPort    `toml:"admin-address"`
	ControllerAddress netip.AddrPort    `toml:"controller-address"`
	OperatorAddress   netip.AddrPort    `toml:"operator-address"`
	OperatorKeyFile   string            `toml:"operator-key-file"`
	PlatformAddress   netip.AddrPort    `toml:"platform-address"`
	Controllers       []netip.AddrPort  `toml:"controllers"`
	Peers             []netip.AddrPort  `toml:"peers"`
	DataFolder        string            `toml:"data-folder"`
	LogLevel          string            `toml:"log-level"`
	AddressOverrides  []AddressOverride `toml:"address-overrides"`
	TLS               TLSSettings       `toml:"tls"`
}

// AddressOverride redirects connections from one address to another.
type AddressOverride struct {
	From netip.AddrPort `toml:"from"`
	To   netip.AddrPort `toml:"to"`
}

// TLSSettings names the certificate files for TLS between the system's processes. TLS is off if all are empty.
type TLSSettings struct {
	CertificateFile string `toml:"certificate-file"`
	KeyFile         string `toml:"key-file"`
	CAFile          string `toml:"authority-file"`
}

// Load reads and validates a settings file. Unknown keys are rejected, with their lines in the error.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "load settings", Kind: KindFile, cause: eris.Wrap(err, "read file")}
	}
	settings := &Settings{LogLevel: "info"}
	err = toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(settings)
	if err != nil {
		return nil, &Error{Op: "load settings", Kind: KindValue, cause: eris.New(path + ": " + describeDecodeError(err))}
	}
	if settings.VM == "" || settings.Zone == "" {
		return nil, &Error{Op: "load settings", Kind: KindValue, cause: eris.New(path + ": vm and zone are required")}
	}
	return settings, nil
}

// describeDecodeError adds the lines and keys that the decoder reports.
func describeDecodeError(err error) string {
	var strictErr *toml.StrictMissingError
	if errors.As(err, &strictErr) {
		return "unknown keys:\n" + strictErr.String()
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, column := decodeErr.Position()
		return fmt.Sprintf("line %d, column %d: %v", row, column, decodeErr)
	}
	return err.Error()
}

// Overrides returns the address overrides by their From address.
func (s *Settings) Overrides() map[netip.AddrPort]netip.AddrPort {
	overrides := make(map[netip.AddrPort]netip.AddrPort, len(s.AddressOverrides))
	for _, override := range s.AddressOverrides {
		overrides[override.From] = override.To
	}
	return overrides
}

// Config returns a TLS configuration for clients and servers with mutual authentication, or nil without TLS settings.
func (t TLSSettings) Config() (*tls.Config, error) {
	if t == (TLSSettings{}) {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile)
	if err != nil {
		return nil, &Error{Op: "load TLS files", Kind: KindFile, cause: eris.Wrap(err, "read certificate and key")}
	}
	text, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, &Error{Op: "load TLS files", Kind: KindFile, cause: eris.Wrap(err, "read authority-file")}
	}
	caPool := x509.NewCertPool()
	if !caPool.AppendCertsFromPEM(text) {
		return nil, &Error{Op: "load TLS files", Kind: KindValue, cause: eris.New("authority-file holds no PEM certificate")}
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      caPool,
		ClientCAs:    caPool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
