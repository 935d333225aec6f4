package e2e

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pearshelf/pearshelf/internal/config"
	"github.com/pearshelf/pearshelf/internal/operator"
	"github.com/pearshelf/pearshelf/internal/settings"
	"github.com/pearshelf/pearshelf/standin/backend"
	"github.com/pearshelf/pearshelf/standin/fleet"
)

// writeKeys makes a CA and one certificate for 127.0.0.1.
func writeKeys(dir string) settings.TLS {
	GinkgoHelper()
	files := settings.TLS{
		CertFile: filepath.Join(dir, "cert.pem"),
		KeyFile:  filepath.Join(dir, "key.pem"),
		CAFile:   filepath.Join(dir, "ca.pem"),
	}
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	caRaw, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	Expect(err).NotTo(HaveOccurred())
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	leafRaw, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
	Expect(err).NotTo(HaveOccurred())
	keyRaw, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	writePEM(files.CAFile, "CERTIFICATE", caRaw)
	writePEM(files.CertFile, "CERTIFICATE", leafRaw)
	writePEM(files.KeyFile, "EC PRIVATE KEY", keyRaw)
	return files
}

func writePEM(path, kind string, raw []byte) {
	GinkgoHelper()
	Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600)).To(Succeed())
}

var _ = Describe("a fleet with keys", func() {
	It("serves callers over TLS with HTTP/2", func() {
		keys := writeKeys(GinkgoT().TempDir())
		conf := fleet.Config{
			Hosts: 1, DataCentres: []string{"dc1"}, Services: []config.Service{shop(1)},
			Backend: func(_ string, b config.Backend) backend.Config { return backend.Config{ID: b.ID} },
			Settings: func(i int, s *settings.Settings) {
				quick(i, s)
				s.Caller.TLS = keys
			},
		}
		f, err := fleet.StartReady(context.Background(), conf)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		raw, err := os.ReadFile(keys.CAFile)
		Expect(err).NotTo(HaveOccurred())
		pool := x509.NewCertPool()
		pool.AppendCertsFromPEM(raw)
		secure := &http.Client{Transport: &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{RootCAs: pool}}}
		resp, err := secure.Post("https://"+f.Hosts[0].CallerAddress()+"/shop/order", "text/plain", strings.NewReader("x"))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.ProtoMajor).To(Equal(2))
		Expect(resp.Header.Get("Pearshelf-Outcome")).To(Equal("complete"))
	})

	It("serves, forwards, claims and answers operators over mutual TLS", func() {
		dir := GinkgoT().TempDir()
		keys := writeKeys(dir)
		secret := filepath.Join(dir, "datagram.key")
		Expect(os.WriteFile(secret, []byte(strings.Repeat("0f", 32)), 0o600)).To(Succeed())
		f := start(4, []config.Service{shop(2)}, func(c *fleet.Config) {
			c.Settings = func(i int, s *settings.Settings) {
				quick(i, s)
				s.Peer.Insecure, s.Peer.TLS, s.Peer.DatagramKeyFile = false, keys, secret
				s.Operator.Insecure, s.Operator.TLS = false, keys
			}
		})
		for _, d := range f.Hosts {
			r := mustCall("POST", "http://"+d.CallerAddress()+"/shop/order", "x", "Idempotency-Key", d.CallerAddress())
			Expect(r.outcome()).To(Equal("complete"), r.body)
		}
		out := &bytes.Buffer{}
		conf := operator.Config{Host: f.Hosts[0].OperatorAddress(), Output: operator.FormatTable, Out: out, TLS: keys}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		app, err := operator.New(conf)
		Expect(err).NotTo(HaveOccurred())
		Expect(app.Statement(ctx, "show", []string{"hosts"})).To(Succeed())
		Expect(strings.Count(out.String(), "alive")).To(Equal(4))

		conf.TLS = settings.TLS{} // without keys nobody gets in
		stranger, err := operator.New(conf)
		Expect(err).NotTo(HaveOccurred())
		Expect(stranger.Statement(ctx, "show", []string{"hosts"})).NotTo(Succeed())
	})
})
