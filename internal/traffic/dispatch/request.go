package dispatch

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/wire/engineapi"
)

// Request holds the common fields of requests to models and to plain services.
type Request struct {
	ID             ident.RequestID
	Caller         ident.CallerName
	Class          ident.ClassName
	IdempotencyKey ident.IdempotencyKey
	Deadline       time.Time
	Body           []byte
}

// ChatRequest is a request to a model or adapter.
type ChatRequest struct {
	Request
	Model  ident.ModelName
	Stream bool
	// MaxTokens limits the length of the answer; zero means no limit.
	MaxTokens unit.Tokens
}

// PlainRequest is a request to a plain service.
type PlainRequest struct {
	Request
	Service ident.ServiceName
	Method  string
	// Path includes the query.
	Path   string
	Header http.Header
}

// Answer is a complete answer to a request.
type Answer struct {
	Status      int
	ContentType string
	// Header holds the other headers of a plain service's answer; a stored
	// answer has none.
	Header http.Header
	Body   []byte
	// Replayed reports whether this is the stored answer of a request that ran
	// before.
	Replayed bool
}

// Sink passes the answer to the caller.
type Sink interface {
	// StartStream is called once, before the first chunk of a stream.
	StartStream()
	// SendChunk sends one event of a stream. An error means that the caller
	// disconnected.
	SendChunk(data []byte) error
	// SendAnswer sends an answer that is not a stream.
	SendAnswer(answer Answer) error
}

// fingerprint identifies the content of a request, so that it is recognized
// when its caller sends it under a new ID. It covers everything that is
// requested: two requests with the same key and body but, for example, a
// different path are different requests, and the second must not get the first
// one's answer.
func (r *Request) fingerprint(contentParts ...string) ident.Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range contentParts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write(partSeparator)
	}
	_, _ = digest.Write(r.Body)
	return ident.Fingerprint(digest.Sum64())
}

// partSeparator occurs in no name, method or path.
var partSeparator = []byte{0}

// prefixMessages is the number of messages at the beginning of a chat that
// choose its preferred replica: the instructions and the first question. All
// turns of a conversation share them, so they go to the same replica, while
// conversations with the same instructions are spread over several.
const prefixMessages = 2

// promptPrefix returns the hash of the beginning of a chat's prompt, as the
// engines' caches compute it.
func (c *ChatRequest) promptPrefix() uint64 {
	chat, err := engineapi.ParseChat(c.Body)
	if err != nil || len(chat.Messages) == 0 {
		return xxhash.Sum64(c.Body) // the engine reports what is wrong
	}
	chat.Messages = chat.Messages[:min(len(chat.Messages), prefixMessages)]
	prefixes := chat.PrefixHashes()
	return prefixes[len(prefixes)-1]
}

// classPositionOf returns the position of a class in its document, from 0, or
// the number of classes if it has none of that name.
func classPositionOf(name ident.ClassName, doc *document.Document) int {
	for i := range doc.Classes {
		if doc.Classes[i].Name == name {
			return i
		}
	}
	return len(doc.Classes)
}

// resolveClass assigns the team's default class to a request without a class. A
// class that the team doesn't have is refused; otherwise the request would
// silently lose the priority that its caller expects.
func resolveClass(request *Request, target *routing.Target) *Failure {
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
	return NewNotSentFailure(CodeHeaderInvalid, "class: found "+strconv.Quote(string(request.Class))+", allowed "+strings.Join(names, ", "), time.Time{})
}
