package caller

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/uptrace/bunrouter"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/traffic/dispatch"
)

// service forwards a request to a plain service: /services/NAME/PATH?QUERY becomes
// /PATH?QUERY there.
func (s *Server) service(w http.ResponseWriter, request bunrouter.Request) error {
	incoming, failure := s.readRequest(w, request.Request)
	if failure != nil {
		return s.reject(w, &incoming, request.Param("service"), failure)
	}
	// The router returns the name as the caller escaped it.
	name, err := url.PathUnescape(request.Param("service"))
	if err != nil {
		name = request.Param("service")
	}
	w.Header().Set(HeaderRequest, string(incoming.ID))
	sink := newSink(s, w, incoming.ID)
	failure = s.Dispatcher.ServePlain(request.Context(), dispatch.PlainRequest{
		Request: incoming,
		Service: ident.ServiceName(name),
		Method:  request.Method,
		Path:    servicePath(request.URL),
		Header:  forwardedHeader(request.Header),
	}, sink)
	return sink.end(failure)
}

// servicePath returns the path and query for the service, escaped as the caller escaped
// them. The service's name may be escaped as well.
func servicePath(requested *url.URL) string {
	rest := strings.TrimPrefix(requested.EscapedPath(), PathServices)
	_, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	if requested.RawQuery != "" {
		path += "?" + requested.RawQuery
	}
	return path
}

// forwardedHeader returns the headers to forward to a service: all but those meant for
// this host.
func forwardedHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for name := range forwarded {
		if strings.HasPrefix(name, ownHeaderPrefix) {
			delete(forwarded, name)
		}
	}
	return forwarded
}
