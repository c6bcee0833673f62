package caller

import (
	"net/http"
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
	name := request.Param("service")
	path := strings.TrimPrefix(request.URL.EscapedPath(), PathServices+name)
	if path == "" {
		path = "/"
	}
	if request.URL.RawQuery != "" {
		path += "?" + request.URL.RawQuery
	}
	w.Header().Set(HeaderRequest, string(read.ID))
	sink := newSink(s, w, read.ID)
	failure = s.Dispatcher.Plain(request.Context(), dispatch.Plain{
		Request:     read,
		Service:     ident.ServiceName(name),
		Method:      request.Method,
		Path:        path,
		ContentType: request.Header.Get("Content-Type"),
	}, sink)
	return sink.end(failure)
}
