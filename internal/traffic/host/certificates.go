package host

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/config/settings"
)

// certificates serves the certificate and key of two files, and reads them
// again when they change. Platforms replace certificate files in place, long
// before the old certificate expires; a host that read them only once would
// serve the old one after its expiry.
type certificates struct {
	files      settings.TLS
	mu         sync.Mutex
	current    *tls.Certificate
	modifiedAt time.Time
	nextCheck  time.Time
}

// checkInterval is the minimum time between checks of the files.
const checkInterval = time.Second

func newCertificates(files settings.TLS) (*certificates, error) {
	c := &certificates{
		files: files,
	}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *certificates) load() error {
	modifiedAt, err := lastModified(c.files)
	if err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(c.files.CertificateFile, c.files.KeyFile)
	if err != nil {
		return errors.Wrap(err, "certificate and key")
	}
	c.current = &pair
	c.modifiedAt = modifiedAt
	return nil
}

func lastModified(files settings.TLS) (time.Time, error) {
	var last time.Time
	for _, name := range []string{files.CertificateFile, files.KeyFile} {
		info, err := os.Stat(name)
		if err != nil {
			return last, errors.Wrap(err, "certificate and key")
		}
		if info.ModTime().After(last) {
			last = info.ModTime()
		}
	}
	return last, nil
}

// getCertificate returns the latest pair that could be read. While the files
// are being replaced, the certificate may not match the key; the previous pair
// is then served.
func (c *certificates) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Before(c.nextCheck) {
		return c.current, nil
	}
	c.nextCheck = now.Add(checkInterval)
	if modifiedAt, err := lastModified(c.files); err == nil && !modifiedAt.Equal(c.modifiedAt) {
		_ = c.load()
	}
	return c.current, nil
}
