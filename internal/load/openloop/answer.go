package openloop

import (
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"cicadaloom/internal/load/result"
)

const (
	streamEnd  = "[DONE]"
	eventLimit = 1 << 20
)

// markerPattern finds the markers that package demand makes.
var markerPattern = regexp.MustCompile(`q[0-9a-f]{8}-[0-9]{7,}`)

type wireError struct {
	Error *struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

type wireWhole struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

type wireChunk struct {
	wireError
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readWhole reads an answer or refusal in one piece.
func readWhole(record *result.Record, from io.Reader) {
	body, err := io.ReadAll(io.LimitReader(from, answerLimit))
	record.Whole = time.Since(record.Request.At)
	record.FirstToken = record.Whole
	if record.Status >= http.StatusBadRequest {
		record.Kind = result.Refused
		readRefusal(record, body)
		return
	}
	if err != nil {
		record.Kind = result.Cut
		record.Content = contentOf(record, string(body))
		return
	}
	record.Kind = result.Answered
	text := string(body)
	if record.Request.Chat != nil {
		var whole wireWhole
		if json.Unmarshal(body, &whole) == nil && len(whole.Choices) > 0 {
			text = whole.Choices[0].Message.Content
			record.Tokens = whole.Usage.CompletionTokens
		}
	}
	record.Content = contentOf(record, text)
}

func readRefusal(record *result.Record, body []byte) {
	var refusal wireError
	if json.Unmarshal(body, &refusal) == nil && refusal.Error != nil {
		record.Code = refusal.Error.Code
		record.Run = refusal.Error.Run
	}
}

// stream is an answer that comes token by token.
type stream struct {
	record *result.Record
	text   strings.Builder
	last   time.Time
	ended  bool
}

// readStream reads server-sent events up to the end mark. An answer without it
// is cut, also where the connection ended in order.
func readStream(record *result.Record, from io.Reader) {
	s := stream{
		record: record,
	}
	for event, err := range sse.Read(from, &sse.ReadConfig{MaxEventSize: eventLimit}) {
		if err != nil || !s.take(event.Data) {
			break
		}
	}
	record.Whole = time.Since(record.Request.At)
	record.Kind = result.Cut
	if s.ended {
		record.Kind = result.Answered
	}
	record.Content = contentOf(record, s.text.String())
}

// take tells whether to read on.
func (s *stream) take(data string) bool {
	if data == streamEnd {
		s.ended = true
		return false
	}
	now := time.Now()
	var chunk wireChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return false
	}
	if chunk.Error != nil {
		s.record.Code = chunk.Error.Code
		s.record.Run = chunk.Error.Run
		return false
	}
	if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
		return true
	}
	s.record.Tokens++
	s.text.WriteString(chunk.Choices[0].Delta.Content)
	if s.record.Tokens == 1 {
		s.record.FirstToken = now.Sub(s.record.Request.At)
	} else {
		s.record.Gaps = append(s.record.Gaps, now.Sub(s.last))
	}
	s.last = now
	return true
}

// contentOf compares an answer with what the request should get.
func contentOf(record *result.Record, text string) result.Content {
	own := false
	for _, marker := range markerPattern.FindAllString(text, -1) {
		if marker != record.Request.Marker {
			return result.Foreign
		}
		own = true
	}
	chat := record.Request.Chat
	switch {
	case !own:
		return result.Unmarked
	case chat != nil && record.Tokens < chat.Tokens:
		return result.Short
	case chat != nil && record.Tokens > chat.Tokens:
		return result.Long
	}
	return result.Own
}
