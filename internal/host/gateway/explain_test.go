package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// askExplanation asks a host where a request would go.
func (f *fleet) askExplanation(host, query string) (int, string) {
	answer := httptest.NewRecorder()
	f.hosts[host].serveMetrics(answer, httptest.NewRequest(http.MethodGet, explainPath+"?"+query, http.NoBody))
	return answer.Code, answer.Body.String()
}

// An operator asks where a request would go: the answer has the route, the verdict and the
// servers, and nothing is sent.
func TestExplanationNamesServersAndSendsNothing(t *testing.T) {
	f := newFleet(t)
	f.serve("models", "one")
	f.keyValue.write("configuration", engineConfiguration())
	f.start("a")
	f.eventually(func() bool { return f.hosts["a"].Routes() != nil && f.hosts["a"].serversKnown.Load() }, "a knows servers")
	route := f.hosts["a"].Routes().Configuration().Routes[0]
	query := "format=json&tokens=500&host=" + route.Host + "&path=" + route.Prefix
	model := f.hosts["a"].Routes().Configuration().Services["models"].Engine.Models[0].Name
	var answer explanation
	status, text := f.askExplanation("a", query+"&model="+string(model))
	require.Equal(t, http.StatusOK, status, text)
	require.NoError(t, json.Unmarshal([]byte(text), &answer))
	require.Equal(t, route.Name, answer.Route)
	require.Len(t, answer.Targets, 1)
	require.Contains(t, []string{"Found", "NoneHolds"}, answer.Targets[0].Verdict)
	_, text = f.askExplanation("a", query+"&model=undeclared")
	require.Contains(t, text, "the weights are not declared")
	_, text = f.askExplanation("a", "host=nowhere.example&path=/")
	require.Contains(t, text, "denied: no route")
	status, _ = f.askExplanation("a", "host="+route.Host)
	require.Equal(t, http.StatusBadRequest, status)
	require.Zero(t, f.hosts["a"].handler.InFlight())
}

// Guards against operators' questions that take the processor from requests: one is answered at a
// time.
func TestExplanationsAreAnsweredOneAtATime(t *testing.T) {
	f := newFleet(t)
	f.start("a")
	f.hosts["a"].explaining.Lock()
	defer f.hosts["a"].explaining.Unlock()
	status, _ := f.askExplanation("a", "host=a.example&path=/")
	require.Equal(t, http.StatusTooManyRequests, status)
}

// Guards against keys in operators' tools: an account is named, and its keys are in no answer.
func TestExplanationNeedsAccountAndShowsNoKey(t *testing.T) {
	f, names := startFleet(t, 1, accountsConfiguration(1, 10, "k1"))
	route := f.hosts[names[0]].Routes().Configuration().Routes[0]
	query := "format=json&host=" + route.Host + "&path=" + route.Prefix
	for account, expected := range map[string]string{
		"":      "the route needs the key of an account",
		"k1":    "no such account",
		"boats": `"Verdict":"Found"`,
	} {
		status, text := f.askExplanation(names[0], query+"&account="+account)
		require.Equal(t, http.StatusOK, status)
		require.Contains(t, text, expected)
		require.NotContains(t, text, "k1")
		require.NotContains(t, text, "Keys")
	}
	require.Empty(t, (*f.hosts[names[0]].pools.Load())["old"].TakeDemand())
}
