package host

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/config/settings"
)

// certificates serves the certificate in two files and reads them again when
// they change. Platforms replace certificates in place, long before the old one
// ends; a host that read them only once would serve the old one past its end.
type certificates struct {
	files   settings.TLS
	mu      sync.Mutex
	current *tls.Certificate
	changed time.Time
	lookAt  time.Time
}

// lookEvery is how often the files are looked at, at most.
const lookEvery = time.Second

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
	changed, err := lastChange(c.files)
	if err != nil {
		return err
	}
	pair, err := tls.LoadX509KeyPair(c.files.CertificateFile, c.files.KeyFile)
	if err != nil {
		return errors.Wrap(err, "certificate and key")
	}
	c.current = &pair
	c.changed = changed
	return nil
}

func lastChange(files settings.TLS) (time.Time, error) {
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

// get gives the newest pair that can be read: while the files are being
// replaced, one may not fit the other, and the pair before goes on.
func (c *certificates) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Before(c.lookAt) {
		return c.current, nil
	}
	c.lookAt = now.Add(lookEvery)
	if changed, err := lastChange(c.files); err == nil && !changed.Equal(c.changed) {
		_ = c.load()
	}
	return c.current, nil
}
