// Package request has a client's request as an entry host sees it: opaque but
// for what is needed to choose a backend server and to keep its promises.
//
// # Usage
//
//	if now.After(r.Deadline) {
//		// nobody waits any more
//	}
//	key := r.Weights() // what a model server must hold to answer it
package request

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// Request is one request of a client, read in full.
type Request struct {
	ID     ident.RequestID
	Method string
	// Target is the request line's target as it came, never cleaned.
	Target string
	Path   string
	Host   string
	// Header has what may be passed on: nothing that concerns one connection
	// only, and nothing that is the system's to set.
	Header http.Header
	Body   []byte
	// ResumeAfter is the last event that the client has, empty for a new stream.
	ResumeAfter string

	Arrived time.Time
	// Deadline is when the client stops waiting; zero if it doesn't say.
	Deadline time.Time

	Model   ident.ModelName
	Adapter ident.AdapterName // empty for the model itself
	Prompt  unit.Tokens
	// MaxOutput is the most that may be generated, LikelyOutput the client's
	// estimate; zero if it doesn't say.
	MaxOutput    unit.Tokens
	LikelyOutput unit.Tokens
	Parts        []Part
}

// Part is a piece of a prompt that other requests may share. A part is cached
// only where all parts before it are.
type Part struct {
	ID     uint64
	Tokens unit.Tokens
}

// Weights names what a model server must hold to answer a request.
type Weights struct {
	Model   ident.ModelName
	Adapter ident.AdapterName
}

// Weights gives what a model server must hold to answer the request.
func (r *Request) Weights() Weights {
	return Weights{
		Model:   r.Model,
		Adapter: r.Adapter,
	}
}

// Fingerprint finds a request again that comes under a new id: by its method,
// host, target, model and body.
func (r *Request) Fingerprint() ident.Fingerprint {
	digest := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.Target, string(r.Model), string(r.Adapter)} {
		_, _ = digest.WriteString(part) // a digest takes everything
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(r.Body)
	return ident.Fingerprint(digest.Sum64())
}
