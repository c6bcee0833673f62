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

func chatBody(content string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"briefing","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, content)
}

// post sends a body to a host and gives the status and the whole answer.
func post(address, path, body string, headers ...string) (int, http.Header, string, error) {
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

// Many callers ask at once through all hosts, streamed and whole, while one
// engine cuts every stream and the other mixes up some answers. Each caller
// reads the answer to its own question and no word of a neighbour's.
func TestEveryCallerGetsItsOwnAnswer(t *testing.T) {
	const callers, questions = 16, 6
	f := newFleet(t, 2, 3)
	f.put(historyDocument, 1)
	f.platform.Engines["gpu-0"].Faults.Set(engine.Faults{
		CutStreamAfter: 3,
	})
	f.platform.Engines["gpu-1"].Faults.Set(engine.Faults{
		ForeignAnswers: 3,
	})
	var group sync.WaitGroup
	var mu sync.Mutex
	var wrong []string
	whole := 0
	for caller := range callers {
		group.Go(func() {
			for n := range questions {
				question := fmt.Sprintf("question-%d-%d.", caller, n)
				stream := n%2 == 0
				status, _, text, err := post(f.hosts[(caller+n)%3].Callers, "/v1/chat/completions", chatBody(question, 5, stream))
				ended := err == nil && status == http.StatusOK && (!stream || strings.HasSuffix(text, "data: [DONE]\n\n"))
				mu.Lock()
				if ended {
					whole++
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
	require.Greater(t, whole, callers*questions/2, "too few answers came whole to say anything")
}

// An answer in one piece takes many times the promised time to the first token.
// Its engine works on it all the time, but the caller's side sees no sign of
// life before the end: it must not be given up as hanging.
func TestLongAnswerInOnePieceIsWaitedFor(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.put(historyDocument, 1)
	status, _, text, err := post(f.hosts[0].Callers, "/v1/chat/completions", chatBody("long", 400, false))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status, text)
	require.Contains(t, text, " w398-")
	runs := 0
	for _, asked := range f.platform.Engines {
		runs += len(asked.Stats().Runs)
	}
	require.Equal(t, 1, runs, "the answer was given up and begun anew elsewhere")
}
