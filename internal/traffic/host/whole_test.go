package host

import (
	"context"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"
)

// A caller asks for a long answer in one piece. Its engine works on it without
// a word for longer than a first token may take: that is no hang, and the
// answer must come rather than be given up and tried elsewhere.
func TestLongWholeAnswerIsNoHang(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.put("testdata/patient.json", 2)
	client := openai.NewClient(option.WithBaseURL("http://"+f.hosts[0].Callers+"/v1"), option.WithAPIKey("unused"), option.WithMaxRetries(0))
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
