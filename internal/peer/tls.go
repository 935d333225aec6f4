package peer

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"time"

	"github.com/pearshelf/pearshelf/internal/errs"
	"github.com/pearshelf/pearshelf/internal/settings"
)

const dialTimeout = 500 * time.Millisecond

var dialer = &net.Dialer{Timeout: dialTimeout}

// MutualTLS loads keys for a listener and its clients: each side must show a
// certificate of the CA. It returns nil if no keys are configured.
func MutualTLS(files settings.TLS) (*tls.Config, error) {
	conf, err := ServerTLS(files)
	if conf == nil || err != nil {
		return nil, err
	}
	raw, err := os.ReadFile(files.CAFile)
	if err != nil {
		return nil, errs.Wrap(err, errs.KindSettings, "CA file cannot be read", "name a readable PEM file in ca_file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, errs.New(errs.KindSettings, "CA file holds no certificate", "name a PEM file with the CA's certificate in ca_file")
	}
	conf.ClientCAs = pool
	conf.RootCAs = pool
	conf.ClientAuth = tls.RequireAndVerifyClientCert
	return conf, nil
}

// ServerTLS loads a listener's own keys, or returns nil if there are none.
func ServerTLS(files settings.TLS) (*tls.Config, error) {
	if !files.Enabled() {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, errs.Wrap(err, errs.KindSettings, "TLS keys cannot be loaded", "name matching PEM files in cert_file and key_file")
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}
