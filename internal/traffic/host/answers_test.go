package host

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadaloom/internal/standin/engine"
)

const historyDocument = "testdata/history.json"

func newChatBody(content string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"briefing","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, content)
}

// postRequest sends a body to a host and returns the status, the headers and
// the whole answer.
func postRequest(address, path, body string, headers ...string) (int, http.Header, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, "", err
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(data), err
}

// Many callers send requests at once through all hosts, streamed and not, while
// one engine cuts every stream and the other mixes up some answers. Each caller
// must get the answer to its own question and nothing of another answer.
func TestEveryCallerGetsItsOwnAnswer(t *testing.T) {
	const callers, questions = 16, 6
	f := newFleet(t, 2, 3)
	f.putDocument(historyDocument, 1)
	f.platform.Engines["gpu-0"].Faults.Set(engine.Faults{
		CutStreamAfter: 3,
	})
	f.platform.Engines["gpu-1"].Faults.Set(engine.Faults{
		ForeignAnswers: 3,
	})
	var group sync.WaitGroup
	var mu sync.Mutex
	var wrong []string
	complete := 0
	for caller := range callers {
		group.Go(func() {
			for n := range questions {
				question := fmt.Sprintf("question-%d-%d.", caller, n)
				stream := n%2 == 0
				status, _, text, err := postRequest(f.hosts[(caller+n)%3].CallersAddress, "/v1/chat/completions", newChatBody(question, 5, stream))
				ended := err == nil && status == http.StatusOK && (!stream || strings.HasSuffix(text, "data: [DONE]\n\n"))
				mu.Lock()
				if ended {
					complete++
				}
				if ended && !strings.Contains(text, question) || strings.Count(text, "echo of ") > 1 || strings.Contains(text, "neighbour") || ended && !strings.Contains(text, " w3-") {
					wrong = append(wrong, question+" read "+text)
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	require.Empty(t, wrong)
	require.Greater(t, complete, callers*questions/2, "too few answers were complete for a meaningful check")
}

// An answer that is not streamed takes many times the promised time to the
// first token. Its engine works on it all the time, but sends nothing before
// the end. The watchdog must not end the attempt.
func TestLongUnstreamedAnswerRunsOnce(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.putDocument(historyDocument, 1)
	status, _, text, err := postRequest(f.hosts[0].CallersAddress, "/v1/chat/completions", newChatBody("long", 400, false))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status, text)
	require.Contains(t, text, " w398-")
	runs := 0
	for _, running := range f.platform.Engines {
		runs += len(running.Stats().Runs)
	}
	require.Equal(t, 1, runs, "the answer was abandoned and started again elsewhere")
}
