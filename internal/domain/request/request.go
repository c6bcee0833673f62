// Package request has a client's request as an entry host handles it: opaque except
// for the parts by which the host chooses a backend server and meets the deadline and
// the rules on repeats.
//
// # Usage
//
//	if now.After(r.Deadline) {
//		// the client has stopped waiting
//	}
//	key := r.Weights() // the weights that a model server needs to answer it
package request

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// Request is one request of a client, with its complete body once that has been read.
type Request struct {
	ID     ident.RequestID
	Method string
	// Target is the request line's target as received, without normalization.
	Target string
	Path   string
	Host   string
	// Caller is the address from which the client's connection comes, without its port.
	Caller string
	// Header has the headers that may be forwarded: no hop-by-hop headers, and none
	// that only the entry host may set.
	Header http.Header
	Body   []byte
	// Key is the key that authenticates the request; empty if the client sent none, or
	// none that can be read.
	Key string
	// ResumeAfter is the id of the last event that the client received; empty for a
	// new stream.
	ResumeAfter string
	// ResumedRequest is the id of the request whose answer began the stream that the client takes
	// up again; empty for a new stream.
	ResumedRequest ident.RequestID

	ArrivedAt time.Time
	// Deadline is when the client stops waiting; zero if it gave none.
	Deadline time.Time

	Model   ident.ModelName
	Adapter ident.AdapterName // empty for the model itself
	// PromptTokens is the length of the prompt, as the client gave it.
	PromptTokens unit.Tokens
	// MaxOutputTokens is the maximum to generate, EstimatedOutputTokens the client's
	// estimate; zero if it gave none.
	MaxOutputTokens       unit.Tokens
	EstimatedOutputTokens unit.Tokens
	PromptParts           []PromptPart
}

// Tokens returns how many tokens the request may use, prompt and output together; zero if
// the client didn't say.
func (r *Request) Tokens() unit.Tokens {
	return r.PromptTokens + r.MaxOutputTokens
}

// PromptPart is a part of a prompt that other requests may have too. An engine can have
// a part in its cache only together with all parts before it.
type PromptPart struct {
	ID     uint64
	Tokens unit.Tokens
}

// Weights names the weights that a model server needs to answer a request.
type Weights struct {
	Model   ident.ModelName
	Adapter ident.AdapterName
}

// Weights returns the weights that a model server needs to answer the request.
func (r *Request) Weights() Weights {
	return Weights{
		Model:   r.Model,
		Adapter: r.Adapter,
	}
}

// Fingerprint returns a hash of the client account, host, path and body. It identifies a
// request that is sent again under a new id, also from another address. Method, query and
// headers may differ then.
func (r *Request) Fingerprint(account ident.AccountName) ident.Fingerprint {
	digest := xxhash.New()
	for _, part := range []string{string(account), r.Host, r.Path} {
		_, _ = digest.WriteString(part) // a digest's writes never fail
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(r.Body)
	return ident.Fingerprint(digest.Sum64())
}
