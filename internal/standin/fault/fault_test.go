package fault

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type faults struct {
	Down    bool
	Lose    int
	DelayBy Duration
}

func post(s *Switch[faults], body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, Path, strings.NewReader(body)))
	return recorder
}

func TestPostReplacesAllFaults(t *testing.T) {
	var s Switch[faults]
	changed := s.Changed()
	require.Equal(t, http.StatusOK, post(&s, `{"Down":true,"Lose":2,"DelayBy":"200ms"}`).Code)
	<-changed
	require.Equal(t, Duration(200*time.Millisecond), s.Get().DelayBy)
	lose := func(f *faults) *int { return &f.Lose }
	require.True(t, s.TakeOne(lose))
	require.True(t, s.TakeOne(lose))
	require.False(t, s.TakeOne(lose))
	answer := post(&s, `{"Lose":1}`)
	require.JSONEq(t, `{"Down":false,"Lose":1,"DelayBy":"0s"}`, answer.Body.String())
}

// If a misspelt fault were accepted, its test would pass without the fault.
func TestInvalidFaultsAreRejectedWithoutChange(t *testing.T) {
	var s Switch[faults]
	post(&s, `{"Down":true}`)
	for _, body := range []string{`{"Dwon":true}`, `{"DelayBy":"-1s"}`, `{"DelayBy":"soon"}`, `{"Lose":"2"}`, `nothing`, ``} {
		require.Equal(t, http.StatusBadRequest, post(&s, body).Code, body)
		require.True(t, s.Get().Down)
	}
}
