package counters

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/load/result"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func TestReaderSumsServerStatistics(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/stats":
			fmt.Fprint(w, `{"Runs":{"r1":1},"RunsNotKept":2,"Overcommits":1,"TokensGenerated":10,"Crashes":0}`)
		case r.Header.Get("Authorization") == "Bearer secret":
			fmt.Fprint(w, `{"Moves":{"Declared":3},"Models":[{"Model":"briefing","Want":2,"Ready":1}]}`)
		default:
			w.WriteHeader(http.StatusUnauthorized)
		}
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unreachable := closed.Addr().String()
	require.NoError(t, closed.Close())
	reader := Reader{
		StatusURLs:      []string{server.URL + "/", "http://" + unreachable},
		Token:           "secret",
		ServerAddresses: []string{address, address},
	}
	snapshot, err := reader.Read(context.Background())
	require.NoError(t, err)
	require.Equal(t, &Snapshot{
		Moves:       map[string]map[string]int{server.URL + "/": {"Declared": 3}},
		Runs:        map[ident.RequestID]int{"r1": 2},
		RunsNotKept: 4,
		Overcommits: 2,
		Tokens:      20,
	}, snapshot)

	reader.Token = "wrong"
	_, err = reader.Read(context.Background())
	require.ErrorContains(t, err, "status 401")
}

func TestCompareReportsDifferences(t *testing.T) {
	before := Snapshot{
		Moves: map[string]map[string]int{
			"led":  {"Declared": 3},
			"next": {},
			"died": {"Declared": 1},
		},
		Runs:   map[ident.RequestID]int{"probe": 1, "long": 1},
		Tokens: 5,
	}
	after := Snapshot{
		Moves: map[string]map[string]int{
			"led":  {"Declared": 3, "Demand": 1},
			"next": {"Demand": 1},
		},
		Runs:        map[ident.RequestID]int{"probe": 1, "long": 2, "twice": 3, "once": 1, "lie": 1},
		Overcommits: 1,
		Tokens:      105,
	}
	require.Equal(t, &result.Fleet{
		Moves:           2,
		HostsNotRead:    1,
		MovesBy:         map[string]int{"Demand": 2},
		Overcommits:     1,
		TokensGenerated: 100,
		TokensWasted:    20,
		Retries:         3,
		RunsOfRefused:   1,
	}, Compare(&before, &after, 80, []ident.RequestID{"lie", "never"}))
}
