package operator

import (
	"net/http"

	"github.com/uptrace/bunrouter"
	"go.uber.org/zap"
)

// drain starts a planned stop of this host. The request may be repeated: the answer
// says how many requests are still in flight.
func (s *Server) drain(w http.ResponseWriter, request bunrouter.Request) error {
	s.logDrain(request, "drain asked for")
	s.Host.Drain()
	return s.writeDrain(w)
}

// resume cancels a drain.
func (s *Server) resume(w http.ResponseWriter, request bunrouter.Request) error {
	s.logDrain(request, "drain taken back")
	if !s.Host.Resume() {
		return writeProblem(w, http.StatusConflict, problem{
			Code:    codeConflict,
			Message: "this host's process is ending, which can't be taken back",
		})
	}
	return s.writeDrain(w)
}

func (s *Server) logDrain(request bunrouter.Request, message string) {
	s.Log.Warn(message, zap.String("From", request.RemoteAddr), zap.Int64("InFlight", s.Host.InFlight()))
}

func (s *Server) writeDrain(w http.ResponseWriter) error {
	return writeJSON(w, http.StatusOK, wireDrain{
		Stopping: s.Host.Stopping(),
		InFlight: s.Host.InFlight(),
	})
}
