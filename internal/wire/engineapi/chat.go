package engineapi

import (
	"encoding/binary"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// roleUser is the role of messages from the caller.
const roleUser = "user"

// Chat has the fields of a chat completion request that the system reads. All others
// stay in the body, which is forwarded byte for byte.
type Chat struct {
	Model        string
	Messages     []Message
	Stream       bool
	IncludeUsage bool
	// MaxTokens limits the answer; 0 leaves the limit to the engine.
	MaxTokens int
}

// Message is one message of a chat, with its text parts joined.
type Message struct {
	Role string
	Text string
}

// LastUserText returns the text of the last message from the caller.
func (c *Chat) LastUserText() string {
	for i := len(c.Messages) - 1; i >= 0; i-- {
		if c.Messages[i].Role == roleUser {
			return c.Messages[i].Text
		}
	}
	return ""
}

// PrefixHashes returns a hash of each prefix of the chat's messages, the shortest first.
// The hash of a prefix covers the hash of the one before it, and the first covers the
// model, so that equal hashes mean equal prefixes. Engines identify prefixes by these
// hashes in their cache events.
func (c *Chat) PrefixHashes() []uint64 {
	hashes := make([]uint64, 0, len(c.Messages))
	hash := xxhash.Sum64String(c.Model)
	for i := range c.Messages {
		digest := xxhash.New()
		writeUint64(digest, hash)
		writeField(digest, c.Messages[i].Role)
		writeField(digest, c.Messages[i].Text)
		hash = digest.Sum64()
		hashes = append(hashes, hash)
	}
	return hashes
}

// writeField writes the length before the text, so that different fields with the same
// concatenation have different hashes.
func writeField(digest *xxhash.Digest, text string) {
	writeUint64(digest, uint64(len(text)))
	_, _ = digest.WriteString(text) // never fails
}

func writeUint64(digest *xxhash.Digest, value uint64) {
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], value)
	_, _ = digest.Write(bytes[:]) // never fails
}

type wireChat struct {
	Model               string        `json:"model"`
	Messages            []wireMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type wireMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type wirePart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// ParseChat parses a chat completion request. It fails if the body is not one JSON
// object of that format, or has no model.
func ParseChat(body []byte) (Chat, error) {
	wire, err := decode[wireChat](body, "chat completion request")
	if err != nil {
		return Chat{}, err
	}
	if wire.Model == "" {
		return Chat{}, errors.New("chat completion request: model: found none")
	}
	chat := Chat{
		Model:        wire.Model,
		Stream:       wire.Stream,
		IncludeUsage: wire.StreamOptions.IncludeUsage,
		MaxTokens:    max(wire.MaxTokens, wire.MaxCompletionTokens),
	}
	if chat.MaxTokens < 0 {
		return Chat{}, errors.Errorf("chat completion request: max_tokens: found %d, allowed at least 0", chat.MaxTokens)
	}
	for i := range wire.Messages {
		text, err := messageText(wire.Messages[i].Content)
		if err != nil {
			return Chat{}, errors.Wrapf(err, "chat completion request: messages[%d].content", i)
		}
		chat.Messages = append(chat.Messages, Message{
			Role: wire.Messages[i].Role,
			Text: text,
		})
	}
	return chat, nil
}

// messageText returns the text of a content in either of its forms: a string or a list
// of parts.
func messageText(content json.RawMessage) (string, error) {
	if len(content) == 0 || string(content) == "null" {
		return "", nil
	}
	if content[0] == '"' {
		var text string
		err := json.Unmarshal(content, &text)
		return text, errors.Wrap(err, "text")
	}
	var parts []wirePart
	if err := json.Unmarshal(content, &parts); err != nil {
		return "", errors.Wrap(err, "parts")
	}
	var text strings.Builder
	for i := range parts {
		text.WriteString(parts[i].Text)
	}
	return text.String(), nil
}
