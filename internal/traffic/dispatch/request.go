package dispatch

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/domain/ident"
)

// Request is what callers of models and of plain services have in common.
type Request struct {
	ID       ident.RequestID
	Caller   ident.CallerName
	Class    ident.ClassName
	Key      ident.IdempotencyKey
	Deadline time.Time
	Body     []byte
}

// Chat is a request to a model or adapter.
type Chat struct {
	Request
	Model  ident.ModelName
	Stream bool
}

// Plain is a request to a plain service.
type Plain struct {
	Request
	Service     ident.ServiceName
	Method      string
	Path        string
	ContentType string
}

// Whole is a whole answer.
type Whole struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed tells that the request had run before and this is its stored answer.
	Replayed bool
}

// Sink takes the answer on its way to the caller.
type Sink interface {
	// Begin is called once before the first chunk of a stream.
	Begin()
	// Chunk takes one event of a stream. An error means that the caller has gone.
	Chunk(data []byte) error
	// Whole takes an answer that is not a stream.
	Whole(answer Whole) error
}

// prefixLength is how much of a request's body stands for its prompt's
// beginning: conversations and instructions that start alike share a cache.
const prefixLength = 512

// fingerprint finds the request again when its caller sends it under a new id.
func (r *Request) fingerprint(name string) ident.Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(name)
	_, _ = digest.Write(r.Body)
	return ident.Fingerprint(digest.Sum64())
}

func (r *Request) prefix() uint64 {
	return xxhash.Sum64(r.Body[:min(len(r.Body), prefixLength)])
}

// classify puts a request that names no class into the team's default class. A
// class that the team doesn't have is refused: the request would silently lose
// the place that its caller counts on.
func classify(request *Request, target *routing.Target) *Failure {
	if request.Class == "" {
		request.Class = target.Document.DefaultClass
		return nil
	}
	names := make([]string, 0, len(target.Document.Classes))
	for _, class := range target.Document.Classes {
		if class.Name == request.Class {
			return nil
		}
		names = append(names, string(class.Name))
	}
	return Untouched(CodeHeaderInvalid, "class: found "+strconv.Quote(string(request.Class))+", allowed "+strings.Join(names, ", "), time.Time{})
}
