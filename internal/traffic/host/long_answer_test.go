package host

import (
	"context"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"
)

// A caller requests a long answer that is not streamed. Its engine sends
// nothing for longer than a first token may take. The attempt must not be ended
// as hanging and tried on another server.
func TestLongUnstreamedAnswerIsNotTimedOut(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.putDocument("testdata/patient.json", 2)
	client := openai.NewClient(option.WithBaseURL("http://"+f.hosts[0].CallersAddress+"/v1"), option.WithAPIKey("unused"), option.WithMaxRetries(0))
	for _, bounded := range []bool{true, false} {
		question := openai.ChatCompletionNewParams{
			Model:    "briefing",
			Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
		}
		if bounded {
			question.MaxTokens = openai.Int(200)
		}
		answer, err := client.Chat.Completions.New(context.Background(), question)
		require.NoError(t, err)
		require.NotEmpty(t, answer.Choices)
	}
}
