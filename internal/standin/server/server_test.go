package server

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uptrace/bunrouter"
	"go.uber.org/goleak"
	"gopkg.in/tomb.v2"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const (
	waitTimeout  = 10 * time.Second
	pollInterval = 2 * time.Millisecond
)

func get(address string) (int, error) {
	transport := &http.Transport{
		DisableKeepAlives: true,
	}
	response, err := (&http.Client{Transport: transport}).Get("http://" + address + "/")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

func TestCrashedServerRestartsAtSameAddress(t *testing.T) {
	var s Server
	address, err := s.Start("127.0.0.1:0", http.NotFoundHandler())
	require.NoError(t, err)
	restarts := 0
	for range 3 {
		s.Crash(20*time.Millisecond, func() { restarts++ })
		_, err = get(address)
		require.Error(t, err, "connection refused")
		require.Eventually(t, func() bool {
			status, err := get(address)
			return err == nil && status == http.StatusNotFound
		}, waitTimeout, pollInterval)
	}
	require.Equal(t, 3, restarts)
	require.NoError(t, s.Stop())
	require.NoError(t, s.Stop(), "a second Stop does nothing")
	s.Go(func() error { panic("Go must not start a goroutine after Stop") })
}

func TestStopEndsCrashedServer(t *testing.T) {
	var s Server
	address, err := s.Start("127.0.0.1:0", http.NotFoundHandler())
	require.NoError(t, err)
	s.Crash(time.Hour, func() { panic("never revived") })
	require.NoError(t, s.Stop())
	_, err = net.Dial("tcp", address)
	require.Error(t, err)
}

// Stop must not hang when a stand-in is stopped while its requests are frozen.
func TestStopCutsFrozenRequests(t *testing.T) {
	var s Server
	hanging := make(chan struct{})
	faults := RequestFaults{
		Changed: func() <-chan struct{} {
			close(hanging)
			return nil
		},
		IsFrozen:     func() bool { return true },
		IgnoreCancel: true,
	}
	address, err := s.Start("127.0.0.1:0", s.ApplyFaults(faults, http.NotFoundHandler()))
	require.NoError(t, err)
	var client tomb.Tomb
	client.Go(func() error {
		_, err := get(address)
		return err
	})
	<-hanging
	require.NoError(t, s.Stop())
	require.Error(t, client.Wait())
}

// If the router recovers the panic of CutConnection, the client takes a cut answer
// for a complete one.
func TestCutReachesClientThroughRouter(t *testing.T) {
	var s Server
	router := bunrouter.New()
	router.GET("/", Route(func(w http.ResponseWriter, r *http.Request) {
		if _, ok := ReadBody(w, r); ok {
			CutConnection()
		}
	}))
	router.POST("/", Route(func(w http.ResponseWriter, r *http.Request) {
		_, _ = ReadBody(w, r)
	}))
	address, err := s.Start("127.0.0.1:0", router)
	require.NoError(t, err)
	defer s.Stop()
	_, err = get(address)
	require.Error(t, err)

	huge := strings.NewReader(strings.Repeat("x", BodyLimit+1))
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/", huge)
	require.NoError(t, err)
	request.Header.Set("Expect", "100-continue")
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
}
