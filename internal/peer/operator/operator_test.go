package operator

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/control/documents"
)

// emptyControl is a Control without documents.
type emptyControl struct{ Control }

func (emptyControl) Documents() *documents.Snapshot { return nil }

func newServer(log *zap.Logger) *Server {
	return &Server{
		Control: emptyControl{},
		Log:     log,
		Settings: settings.Operators{
			Teams: []settings.TeamToken{
				{
					Team:  "kerlouan",
					Token: "kerlouan-token",
				},
			},
			AdminToken: "admin-token",
		},
	}
}

// Each token may access only its pages, and each refusal is logged.
func TestTokensLimitAccess(t *testing.T) {
	observed, entries := observer.New(zap.InfoLevel)
	handler := newServer(zap.New(observed)).routes()
	for _, c := range []struct {
		token, path string
		status      int
	}{
		{"", "/admin/documents", http.StatusUnauthorized},
		{"Bearer ", "/admin/documents", http.StatusUnauthorized},
		{"Bearer wrong", "/admin/documents", http.StatusUnauthorized},
		{"Basic kerlouan-token", "/admin/documents", http.StatusUnauthorized},
		{"Bearer kerlouan-token", "/admin/documents", http.StatusOK},
		{"Bearer kerlouan-token", "/admin/documents/kerlouan", http.StatusNotFound},
		{"Bearer kerlouan-token", "/admin/documents/nour", http.StatusForbidden},
		{"Bearer kerlouan-token", "/admin/documents/nour/history", http.StatusForbidden},
		{"Bearer admin-token", "/admin/documents/nour", http.StatusNotFound},
		{"", "/healthz", http.StatusNoContent},
	} {
		before := entries.Len()
		request := httptest.NewRequest(http.MethodGet, c.path, nil)
		request.Header.Set("Authorization", c.token)
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, request)
		require.Equal(t, c.status, answer.Code, "%s %s", c.token, c.path)
		refused := c.status == http.StatusUnauthorized || c.status == http.StatusForbidden
		require.Equal(t, refused, entries.Len() > before, "%s %s", c.token, c.path)
	}
}

// If the settings have no administrators' token, an empty token must not match it.
func TestEmptyAdminTokenGrantsNothing(t *testing.T) {
	server := newServer(zap.NewNop())
	server.Settings.AdminToken = ""
	_, isKnown := server.findTokenOwner("Bearer ")
	require.False(t, isKnown)
}
