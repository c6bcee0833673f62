package engine

import (
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/wire/engineapi"
)

const (
	// defaultTokens is the length of an answer if the request sets none, maxTokens
	// that of the longest answer.
	defaultTokens = 16
	maxTokens     = 4096
	// maxEchoBytes bounds the part of the message that the first token repeats.
	maxEchoBytes = 256
)

// script generates the tokens of the answer to a request.
type script struct {
	model   string
	version ident.Version
	message string
	seed    uint64
	length  int
}

func newScript(chat *engineapi.Chat, version ident.Version) *script {
	length := chat.MaxTokens
	if length == 0 {
		length = defaultTokens
	}
	message := chat.LastUserText()
	return &script{
		model:   chat.Model,
		version: version,
		message: message,
		seed:    xxhash.Sum64String(chat.Model + "\x00" + message),
		length:  min(length, maxTokens),
	}
}

func (s *script) token(index int) string {
	if index == 0 {
		return fmt.Sprintf("%s/%s: echo of %s", s.model, s.version, truncateEcho(s.message))
	}
	hash := xxhash.Sum64String(fmt.Sprintf("%x/%d", s.seed, index))
	return fmt.Sprintf(" w%d-%04x", index-1, uint16(hash))
}

func truncateEcho(message string) string {
	if len(message) <= maxEchoBytes {
		return message
	}
	end := maxEchoBytes
	for end > 0 && !utf8.RuneStart(message[end]) {
		end--
	}
	return message[:end]
}

// promptTokens returns the number of words of a prompt, which stands for its
// tokens.
func promptTokens(chat *engineapi.Chat) int {
	words := 0
	for i := range chat.Messages {
		words += len(strings.Fields(chat.Messages[i].Text))
	}
	return words
}
