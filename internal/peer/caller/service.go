package caller

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/uptrace/bunrouter"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/traffic/dispatch"
)

// service passes a request on to a plain service: /services/NAME/PATH?QUERY
// becomes /PATH?QUERY there.
func (s *Server) service(w http.ResponseWriter, request bunrouter.Request) error {
	read, failure := s.understand(w, request.Request)
	if failure != nil {
		return s.turnAway(w, &read, request.Param("service"), failure)
	}
	// The router gives the name as the caller escaped it.
	name, err := url.PathUnescape(request.Param("service"))
	if err != nil {
		name = request.Param("service")
	}
	w.Header().Set(HeaderRequest, string(read.ID))
	sink := newSink(s, w, read.ID)
	failure = s.Dispatcher.Plain(request.Context(), dispatch.Plain{
		Request: read,
		Service: ident.ServiceName(name),
		Method:  request.Method,
		Path:    pathBehind(request.URL),
		Header:  headerFor(request.Header),
	}, sink)
	return sink.end(failure)
}

// pathBehind gives the path and query that the service is asked for, as the
// caller escaped them. The service's own name may be escaped as well.
func pathBehind(asked *url.URL) string {
	rest := strings.TrimPrefix(asked.EscapedPath(), PathServices)
	_, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	if asked.RawQuery != "" {
		path += "?" + asked.RawQuery
	}
	return path
}

// headerFor gives the headers that go on to a service: all but those that were
// meant for this host.
func headerFor(header http.Header) http.Header {
	passed := header.Clone()
	for name := range passed {
		if strings.HasPrefix(name, ownHeaders) {
			delete(passed, name)
		}
	}
	return passed
}
