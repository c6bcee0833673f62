package host

import (
	"context"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// The official OpenAI client works against an entry host without changes: with
// streamed and other answers, the list of models, and errors.
func TestOfficialClient(t *testing.T) {
	f := newFleet(t, 2, 2)
	f.putDocument("testdata/kerlouan.json", 2)
	client := openai.NewClient(option.WithBaseURL("http://"+f.hosts[1].CallersAddress+"/v1"), option.WithAPIKey("unused"))
	question := openai.ChatCompletionNewParams{
		Model:     "briefing",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
		MaxTokens: openai.Int(4),
	}

	whole, err := client.Chat.Completions.New(context.Background(), question)
	require.NoError(t, err)
	require.Contains(t, whole.Choices[0].Message.Content, "echo of hello")

	stream := client.Chat.Completions.NewStreaming(context.Background(), question)
	var accumulated openai.ChatCompletionAccumulator
	for stream.Next() {
		require.True(t, accumulated.AddChunk(stream.Current()))
	}
	require.NoError(t, stream.Err())
	require.Equal(t, whole.Choices[0].Message.Content, accumulated.Choices[0].Message.Content)

	models, err := client.Models.List(context.Background())
	require.NoError(t, err)
	require.Len(t, models.Data, 2)

	question.Model = "nobody"
	_, err = client.Chat.Completions.New(context.Background(), question)
	var refused *openai.Error
	require.True(t, errors.As(err, &refused))
	require.Equal(t, 404, refused.StatusCode)
	require.Equal(t, "model_not_found", refused.Code)
}
