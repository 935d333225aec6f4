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

// MutualTLS returns the TLS configuration of a listener and its clients. Each side must
// present a certificate signed by the CA. It returns nil if TLS is not configured.
func MutualTLS(files settings.TLS) (*tls.Config, error) {
	conf, err := ServerTLS(files)
	if conf == nil || err != nil {
		return nil, err
	}
	raw, err := os.ReadFile(files.CAFile)
	if err != nil {
		return nil, errs.Wrap(err, errs.KindSettings, "cannot read CA file", "set ca_file to a readable PEM file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, errs.New(errs.KindSettings, "CA file contains no certificate", "set ca_file to a PEM file with the CA's certificate")
	}
	conf.ClientCAs = pool
	conf.RootCAs = pool
	conf.ClientAuth = tls.RequireAndVerifyClientCert
	return conf, nil
}

// ServerTLS returns the TLS configuration of a listener with its own key pair, or nil if
// TLS is not configured.
func ServerTLS(files settings.TLS) (*tls.Config, error) {
	if !files.Enabled() {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, errs.Wrap(err, errs.KindSettings, "cannot load TLS key pair", "set cert_file and key_file to matching PEM files")
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}
