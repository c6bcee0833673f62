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
	// MaxTokens bounds the answer; zero where its caller sets no bound.
	MaxTokens unit.Tokens
}

// Plain is a request to a plain service.
type Plain struct {
	Request
	Service ident.ServiceName
	Method  string
	// Path has the query too.
	Path   string
	Header http.Header
}

// Whole is a whole answer.
type Whole struct {
	Status      int
	ContentType string
	// Header has the other headers of a plain service's answer; a stored answer
	// has none.
	Header http.Header
	Body   []byte
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

// fingerprint finds the request again when its caller sends it under a new id.
// What is asked for is part of it, whole: two requests with the same key and
// body that ask for different things are different requests, and the second must
// not get the first one's answer.
func (r *Request) fingerprint(asked ...string) ident.Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range asked {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write(endOfPart)
	}
	_, _ = digest.Write(r.Body)
	return ident.Fingerprint(digest.Sum64())
}

// endOfPart stands in no name, method or path.
var endOfPart = []byte{0}

// homeMessages is how many messages at a chat's beginning choose its home
// replica: the instructions and the first question. The turns of a conversation
// so share a home, and conversations with the same instructions don't crowd one.
const homeMessages = 2

// prefix names the beginning of a chat's prompt, as the engines' caches do.
func (c *Chat) prefix() uint64 {
	chat, err := engineapi.ParseChat(c.Body)
	if err != nil || len(chat.Messages) == 0 {
		return xxhash.Sum64(c.Body) // the engine will say what is wrong with it
	}
	chat.Messages = chat.Messages[:min(len(chat.Messages), homeMessages)]
	prefixes := chat.Prefixes()
	return prefixes[len(prefixes)-1]
}

// classIndex gives the place of a class in its document, the first being 0.
func classIndex(name ident.ClassName, doc *document.Document) int {
	for i := range doc.Classes {
		if doc.Classes[i].Name == name {
			return i
		}
	}
	return len(doc.Classes)
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
