package engineapi

import (
	"time"

	"github.com/pkg/errors"
)

const (
	objectChunk   = "chat.completion.chunk"
	objectAnswer  = "chat.completion"
	roleAssistant = "assistant"
	finishStop    = "stop"
)

// Answer has the fields that all chunks of one answer share, or those of the answer as
// a whole.
type Answer struct {
	ID      string
	Created time.Time
	// Model repeats the name in the request.
	Model string
}

// Usage counts the tokens of a request and its answer.
type Usage struct {
	Prompt     int
	Completion int
}

// Chunk has the fields of one chunk of a stream that the system reads.
type Chunk struct {
	Text string
	// Finished says that the chunk has the reason why the answer ends.
	Finished bool
}

type wireChunk struct {
	ID      string            `json:"id"`
	Object  string            `json:"object"`
	Created int64             `json:"created"`
	Model   string            `json:"model"`
	Choices []wireChunkChoice `json:"choices"`
	Usage   *wireUsage        `json:"usage,omitempty"`
	Error   *wireError        `json:"error,omitempty"`
}

type wireChunkChoice struct {
	Index        int       `json:"index"`
	Delta        wireDelta `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
}

type wireDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type wireUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type wireAnswer struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []wireAnswerChoice `json:"choices"`
	Usage   wireUsage          `json:"usage"`
}

type wireAnswerChoice struct {
	Index        int               `json:"index"`
	Message      wireAnswerMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type wireAnswerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type wireError struct {
	Message string `json:"message"`
	Type    string `json:"type,omitempty"`
}

type wireErrorBody struct {
	Error wireError `json:"error"`
}

// ParseChunk parses one chunk. Anything but a chunk is an error, and so is an error
// object in its place.
func ParseChunk(raw []byte) (Chunk, error) {
	wire, err := decode[wireChunk](raw, "chunk")
	if err != nil {
		return Chunk{}, err
	}
	if wire.Error != nil {
		return Chunk{}, errors.Errorf("chunk carries an error: %s", wire.Error.Message)
	}
	if wire.Object != objectChunk {
		return Chunk{}, errors.Errorf("chunk: object: found %q, allowed %q", wire.Object, objectChunk)
	}
	var chunk Chunk
	for i := range wire.Choices {
		chunk.Text += wire.Choices[i].Delta.Content
		chunk.Finished = chunk.Finished || wire.Choices[i].FinishReason != nil
	}
	return chunk, nil
}

// EncodeToken encodes the chunk of one token.
func (a *Answer) EncodeToken(text string, first bool) ([]byte, error) {
	delta := wireDelta{
		Content: text,
	}
	if first {
		delta.Role = roleAssistant
	}
	return a.encodeChunk([]wireChunkChoice{{
		Delta: delta,
	}}, nil)
}

// EncodeFinish encodes the chunk with the reason why the answer ends.
func (a *Answer) EncodeFinish() ([]byte, error) {
	reason := finishStop
	return a.encodeChunk([]wireChunkChoice{{
		FinishReason: &reason,
	}}, nil)
}

// EncodeUsage encodes the chunk with the token counts, which follows the finish chunk
// if the request asked for it.
func (a *Answer) EncodeUsage(usage Usage) ([]byte, error) {
	counts := usage.toWire()
	return a.encodeChunk([]wireChunkChoice{}, &counts)
}

// EncodeWhole encodes the answer to a request that did not ask for a stream.
func (a *Answer) EncodeWhole(text string, usage Usage) ([]byte, error) {
	return encode(wireAnswer{
		ID:      a.ID,
		Object:  objectAnswer,
		Created: a.Created.Unix(),
		Model:   a.Model,
		Choices: []wireAnswerChoice{{
			Message: wireAnswerMessage{
				Role:    roleAssistant,
				Content: text,
			},
			FinishReason: finishStop,
		}},
		Usage: usage.toWire(),
	}, "answer")
}

func (a *Answer) encodeChunk(choices []wireChunkChoice, usage *wireUsage) ([]byte, error) {
	return encode(wireChunk{
		ID:      a.ID,
		Object:  objectChunk,
		Created: a.Created.Unix(),
		Model:   a.Model,
		Choices: choices,
		Usage:   usage,
	}, "chunk")
}

func (u Usage) toWire() wireUsage {
	return wireUsage{
		PromptTokens:     u.Prompt,
		CompletionTokens: u.Completion,
		TotalTokens:      u.Prompt + u.Completion,
	}
}

// ParseWhole parses an answer that is not streamed: its text and its token counts.
func ParseWhole(body []byte) (string, Usage, error) {
	wire, err := decode[wireAnswer](body, "answer")
	if err != nil {
		return "", Usage{}, err
	}
	if len(wire.Choices) == 0 {
		return "", Usage{}, errors.New("answer: choices: found none")
	}
	usage := Usage{
		Prompt:     wire.Usage.PromptTokens,
		Completion: wire.Usage.CompletionTokens,
	}
	return wire.Choices[0].Message.Content, usage, nil
}

// EncodeError encodes the body of a refusal in the OpenAI format.
func EncodeError(kind, message string) ([]byte, error) {
	return encode(wireErrorBody{
		Error: wireError{
			Message: message,
			Type:    kind,
		},
	}, "error")
}
