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

// writePair writes a certificate of a serial number, and its key.
func writePair(t *testing.T, files settings.TLS, serial int64) {
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

func serialOf(t *testing.T, c *certificates) int64 {
	t.Helper()
	c.lookAt = time.Time{}
	pair, err := c.get(nil)
	require.NoError(t, err)
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	require.NoError(t, err)
	return leaf.SerialNumber.Int64()
}

// An operator replaces the certificate while the host runs. Between the writing
// of the two files the new certificate does not fit the old key; the host goes
// on with the pair before, and takes the new one once both files are there.
func TestCertificatesAreReadAgain(t *testing.T) {
	folder := t.TempDir()
	files := settings.TLS{
		CertificateFile: filepath.Join(folder, "host.pem"),
		KeyFile:         filepath.Join(folder, "key.pem"),
	}
	writePair(t, files, 1)
	c, err := newCertificates(files)
	require.NoError(t, err)
	require.EqualValues(t, 1, serialOf(t, c))

	half := files
	half.KeyFile = filepath.Join(folder, "other.pem")
	writePair(t, half, 2)
	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(files.CertificateFile, later, later))
	require.EqualValues(t, 1, serialOf(t, c), "half a pair was served")

	writePair(t, files, 3)
	require.NoError(t, os.Chtimes(files.KeyFile, later.Add(time.Minute), later.Add(time.Minute)))
	require.EqualValues(t, 3, serialOf(t, c))
}

func TestCertificatesMustBeThere(t *testing.T) {
	_, err := newCertificates(settings.TLS{
		CertificateFile: "no-such-file",
		KeyFile:         "no-such-file",
	})
	require.Error(t, err)
}
