package engine

import (
	"context"
	"net/http"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"
)

// The API's own client must accept the answers, streamed and whole.
func TestOpenAIClientReadsAnswers(t *testing.T) {
	b := startEngine(t, shortTimes()).loadBriefing()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := openai.NewClient(
		option.WithBaseURL("http://"+b.address+"/v1"),
		option.WithAPIKey("none"),
		option.WithMaxRetries(0),
		option.WithHTTPClient(&http.Client{
			Transport: transport,
		}),
	)
	request := openai.ChatCompletionNewParams{
		Model:     "briefing",
		MaxTokens: openai.Int(4),
		Messages: []openai.ChatCompletionMessageParamUnion{
			openai.UserMessage("drift at 8 km"),
		},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{
			IncludeUsage: openai.Bool(true),
		},
	}
	stream := client.Chat.Completions.NewStreaming(context.Background(), request)
	defer stream.Close()
	var streamed openai.ChatCompletionAccumulator
	for stream.Next() {
		require.True(t, streamed.AddChunk(stream.Current()))
	}
	require.NoError(t, stream.Err())
	whole, err := client.Chat.Completions.New(context.Background(), request)
	require.NoError(t, err)
	require.Equal(t, whole.Choices[0].Message.Content, streamed.Choices[0].Message.Content)
	require.Equal(t, whole.Usage.CompletionTokens, streamed.Usage.CompletionTokens)
	require.EqualValues(t, 4, whole.Usage.CompletionTokens)
	require.Equal(t, "stop", streamed.Choices[0].FinishReason)
	require.Equal(t, "briefing", whole.Model)
}
