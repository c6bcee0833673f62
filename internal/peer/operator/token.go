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

// action is the kind of access that a request needs. Its values appear in the log.
type action string

const (
	actionRead action = "Read"
	actionEdit action = "Edit"
	// actionDrain is for administrators only: draining a host affects all teams.
	actionDrain action = "Drain"
)

// tokenOwner is a team or the administrators, to whom a token belongs.
type tokenOwner struct {
	isAdmin bool
	team    ident.TeamName
}

// mayPerform says whether the owner may perform an action on a team's document. The
// empty team stands for pages that are not about one team.
func (b tokenOwner) mayPerform(wanted action, team ident.TeamName) bool {
	switch {
	case b.isAdmin:
		return true
	case wanted == actionDrain:
		return false
	default:
		return team == "" || b.team == team
	}
}

// acceptedTokens describes the tokens that a page of the team accepts.
func acceptedTokens(team ident.TeamName) string {
	if team == "" {
		return "the administrators'"
	}
	return "that of team " + string(team) + " or the administrators'"
}

// authorize passes on only requests whose token permits the action; it refuses and logs
// the others.
func (s *Server) authorize(wanted action, next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, request bunrouter.Request) error {
		team := ident.TeamName(request.Param("team"))
		owner, isKnown := s.findTokenOwner(request.Header.Get("Authorization"))
		if !isKnown {
			s.logRefused(request, wanted, "unknown token")
			w.Header().Set("WWW-Authenticate", "Bearer")
			return writeProblem(w, http.StatusUnauthorized, problem{
				Code:    codeUnauthorized,
				Message: "found no known token, allowed Authorization: Bearer TOKEN with one of the settings",
			})
		}
		if !owner.mayPerform(wanted, team) {
			s.logRefused(request, wanted, "token of team "+string(owner.team))
			return writeProblem(w, http.StatusForbidden, problem{
				Code:    codeForbidden,
				Message: "found the token of team " + string(owner.team) + ", allowed " + acceptedTokens(team),
			})
		}
		return next(w, request)
	}
}

func (s *Server) logRefused(request bunrouter.Request, wanted action, reason string) {
	s.Log.Warn("administration refused", zap.String("Purpose", string(wanted)), zap.String("Method", request.Method),
		zap.String("Path", request.URL.Path), zap.String("From", request.RemoteAddr), zap.String("Reason", reason))
}

// findTokenOwner returns the owner of the token in an Authorization header. Tokens are
// compared by their hashes in constant time, and always with all candidates, so that
// the response time does not reveal how close a guess was.
func (s *Server) findTokenOwner(authorization string) (tokenOwner, bool) {
	token, found := strings.CutPrefix(authorization, "Bearer ")
	if !found || token == "" {
		return tokenOwner{}, false
	}
	var owner tokenOwner
	isKnown := false
	for _, candidate := range s.Settings.Teams {
		if equalTokens(token, candidate.Token) {
			owner.team = candidate.Team
			isKnown = true
		}
	}
	if s.Settings.AdminToken != "" && equalTokens(token, s.Settings.AdminToken) {
		owner.isAdmin = true
		isKnown = true
	}
	return owner, isKnown
}

func equalTokens(token, candidate string) bool {
	a := sha256.Sum256([]byte(token))
	b := sha256.Sum256([]byte(candidate))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
