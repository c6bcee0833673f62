package host

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/standin/hostlist"
)

// A plain service receives a request as its caller sent it, and the caller gets
// the service's answer: methods, escaped paths, queries, headers in both
// directions and statuses. Headers for this host or for one connection are
// removed.
func TestPlainServiceReceivesUnchangedRequest(t *testing.T) {
	seen := make(chan *http.Request, 1)
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/control/report" {
			http.NotFound(w, r)
			return
		}
		seen <- r
		w.Header().Set("Location", "/boats/7")
		w.Header().Add("Set-Cookie", "a=1")
		w.Header().Add("Set-Cookie", "b=2")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "made")
	}))
	defer service.Close()
	f := newFleet(t, 1, 1)
	require.NoError(t, hostlist.Register(context.Background(), f.platform.HostListAddress, backend.Server{
		Name:       "desk-9",
		Kind:       backend.KindService,
		State:      backend.StateLive,
		Address:    strings.TrimPrefix(service.URL, "http://"),
		DataCentre: "brest-a",
		Region:     "finistere",
		Service:    "boat-desk",
	}))
	f.putDocument("testdata/desk.json", 0)
	url := "http://" + f.hosts[0].CallersAddress + "/services/boat%2Ddesk/boats%2F7/x?urgent=yes%20please"
	var answer *http.Response
	require.Eventually(t, func() bool {
		request, err := http.NewRequest(http.MethodPatch, url, strings.NewReader("{}"))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Basic abc")
		request.Header.Set("Accept", "text/plain")
		request.Header.Set("Cicadaloom-Caller", "skipper")
		request.Header.Set("Connection", "X-Hop")
		request.Header.Set("X-Hop", "1")
		answer, err = http.DefaultClient.Do(request)
		require.NoError(t, err)
		defer answer.Body.Close()
		return answer.StatusCode == http.StatusCreated
	}, waitTimeout, pollInterval)
	require.Equal(t, "/boats/7", answer.Header.Get("Location"))
	require.Equal(t, []string{"a=1", "b=2"}, answer.Header.Values("Set-Cookie"))
	request := <-seen
	require.Equal(t, http.MethodPatch, request.Method)
	require.Equal(t, "/boats%2F7/x?urgent=yes%20please", request.RequestURI)
	require.Equal(t, "Basic abc", request.Header.Get("Authorization"))
	require.Equal(t, "text/plain", request.Header.Get("Accept"))
	require.Empty(t, request.Header.Get("Cicadaloom-Caller"))
	require.Empty(t, request.Header.Get("X-Hop"))
	require.Equal(t, answer.Header.Get("X-Request-Id"), request.Header.Get("X-Request-Id"))
}
