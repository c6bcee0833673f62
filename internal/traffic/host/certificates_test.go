package host

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/config/settings"
)

// writeCertificatePair writes a certificate with the given serial number, and
// its key.
func writeCertificatePair(t *testing.T, files settings.TLS, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject: pkix.Name{
			CommonName: "entry-1",
		},
		NotAfter: time.Now().Add(time.Hour),
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	encoded, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	writePEM(t, files.CertificateFile, "CERTIFICATE", certificate)
	writePEM(t, files.KeyFile, "EC PRIVATE KEY", encoded)
}

func writePEM(t *testing.T, file, kind string, data []byte) {
	t.Helper()
	block := &pem.Block{
		Type:  kind,
		Bytes: data,
	}
	require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(block), 0o600))
}

func servedSerial(t *testing.T, c *certificates) int64 {
	t.Helper()
	c.nextCheck = time.Time{}
	pair, err := c.getCertificate(nil)
	require.NoError(t, err)
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	require.NoError(t, err)
	return leaf.SerialNumber.Int64()
}

// An operator replaces the certificate while the host runs. After only one of
// the two files has been written, the new certificate does not match the old
// key; the host continues to serve the previous pair, and loads the new one
// once both files are there.
func TestReplacedCertificateIsLoaded(t *testing.T) {
	folder := t.TempDir()
	files := settings.TLS{
		CertificateFile: filepath.Join(folder, "host.pem"),
		KeyFile:         filepath.Join(folder, "key.pem"),
	}
	writeCertificatePair(t, files, 1)
	c, err := newCertificates(files)
	require.NoError(t, err)
	require.EqualValues(t, 1, servedSerial(t, c))

	mismatched := files
	mismatched.KeyFile = filepath.Join(folder, "other.pem")
	writeCertificatePair(t, mismatched, 2)
	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(files.CertificateFile, later, later))
	require.EqualValues(t, 1, servedSerial(t, c), "a mismatched pair was served")

	writeCertificatePair(t, files, 3)
	require.NoError(t, os.Chtimes(files.KeyFile, later.Add(time.Minute), later.Add(time.Minute)))
	require.EqualValues(t, 3, servedSerial(t, c))
}

func TestMissingCertificateFails(t *testing.T) {
	_, err := newCertificates(settings.TLS{
		CertificateFile: "no-such-file",
		KeyFile:         "no-such-file",
	})
	require.Error(t, err)
}
