package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/uptrace/bunrouter"
	"go.uber.org/zap"

	"cicadaloom/internal/domain/ident"
)

// purpose is what a request wants to do.
type purpose string

const (
	toRead purpose = "Read"
	toEdit purpose = "Edit"
	// toDrain is for administrators: a host serves all teams.
	toDrain purpose = "Drain"
)

// bearer is who holds a token.
type bearer struct {
	admin bool
	team  ident.TeamName
}

// may tells whether the bearer may do something with a team's document; the
// empty team stands for what concerns all teams.
func (b bearer) may(wanted purpose, team ident.TeamName) bool {
	switch {
	case b.admin:
		return true
	case wanted == toDrain:
		return false
	default:
		return team == "" || b.team == team
	}
}

// needed names the tokens that may do it.
func needed(team ident.TeamName) string {
	if team == "" {
		return "the administrators'"
	}
	return "that of team " + string(team) + " or the administrators'"
}

// allowed lets only requests with a fitting token through, and logs the others.
func (s *Server) allowed(wanted purpose, next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, request bunrouter.Request) error {
		team := ident.TeamName(request.Param("team"))
		who, known := s.bearer(request.Header.Get("Authorization"))
		if !known {
			s.logRefused(request, wanted, "unknown token")
			w.Header().Set("WWW-Authenticate", "Bearer")
			return writeProblem(w, http.StatusUnauthorized, problem{
				Code:    codeUnauthorized,
				Message: "found no known token, allowed Authorization: Bearer TOKEN with one of the settings",
			})
		}
		if !who.may(wanted, team) {
			s.logRefused(request, wanted, "token of team "+string(who.team))
			return writeProblem(w, http.StatusForbidden, problem{
				Code:    codeForbidden,
				Message: "found the token of team " + string(who.team) + ", allowed " + needed(team),
			})
		}
		return next(w, request)
	}
}

func (s *Server) logRefused(request bunrouter.Request, wanted purpose, why string) {
	s.Log.Warn("administration refused", zap.String("Purpose", string(wanted)), zap.String("Method", request.Method),
		zap.String("Path", request.URL.Path), zap.String("From", request.RemoteAddr), zap.String("Reason", why))
}

// bearer finds who holds a token. Tokens are compared by their hashes in
// constant time and all of them are looked at, so that the time of an answer
// tells a guesser nothing about how near a guess was.
func (s *Server) bearer(authorization string) (bearer, bool) {
	token, found := strings.CutPrefix(authorization, "Bearer ")
	if !found || token == "" {
		return bearer{}, false
	}
	var who bearer
	known := false
	for _, candidate := range s.Settings.Teams {
		if same(token, candidate.Token) {
			who.team = candidate.Team
			known = true
		}
	}
	if s.Settings.AdminToken != "" && same(token, s.Settings.AdminToken) {
		who.admin = true
		known = true
	}
	return who, known
}

func same(token, candidate string) bool {
	a := sha256.Sum256([]byte(token))
	b := sha256.Sum256([]byte(candidate))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
