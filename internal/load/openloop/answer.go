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
	streamEndMark = "[DONE]"
	maxEventBytes = 1 << 20
)

// markerPattern matches the markers that package demand generates.
var markerPattern = regexp.MustCompile(`q[0-9a-f]{8}-[0-9]{7,}`)

type wireError struct {
	Error *struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

type wireAnswer struct {
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

// readUnstreamed reads an unstreamed answer or a refusal into the record.
func readUnstreamed(record *result.Record, bodyReader io.Reader) {
	body, err := io.ReadAll(io.LimitReader(bodyReader, maxAnswerBytes))
	record.TotalTime = time.Since(record.Request.At)
	record.FirstToken = record.TotalTime
	if record.Status >= http.StatusBadRequest {
		record.Kind = result.Refused
		readRefusal(record, body)
		return
	}
	if err != nil {
		record.Kind = result.Cut
		record.Content = classifyContent(record, string(body))
		return
	}
	record.Kind = result.Answered
	text := string(body)
	if record.Request.Chat != nil {
		var whole wireAnswer
		if json.Unmarshal(body, &whole) == nil && len(whole.Choices) > 0 {
			text = whole.Choices[0].Message.Content
			record.Tokens = whole.Usage.CompletionTokens
		}
	}
	record.Content = classifyContent(record, text)
}

func readRefusal(record *result.Record, body []byte) {
	var refusal wireError
	if json.Unmarshal(body, &refusal) == nil && refusal.Error != nil {
		record.Code = refusal.Error.Code
		record.Run = refusal.Error.Run
	}
}

// streamReader records a streamed answer event by event.
type streamReader struct {
	record      *result.Record
	text        strings.Builder
	lastTokenAt time.Time
	isComplete  bool
}

// readStream reads server-sent events up to the end mark. An answer without the end
// mark counts as cut, even if the connection was closed cleanly.
func readStream(record *result.Record, from io.Reader) {
	s := streamReader{
		record: record,
	}
	for event, err := range sse.Read(from, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil || !s.handleEvent(event.Data) {
			break
		}
	}
	record.TotalTime = time.Since(record.Request.At)
	record.Kind = result.Cut
	if s.isComplete {
		record.Kind = result.Answered
	}
	record.Content = classifyContent(record, s.text.String())
}

// handleEvent records the data of one event and reports whether to read further.
func (s *streamReader) handleEvent(data string) bool {
	if data == streamEndMark {
		s.isComplete = true
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
		s.record.Gaps = append(s.record.Gaps, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
	return true
}

// classifyContent compares the text of an answer with the marker and the number of
// tokens of its request.
func classifyContent(record *result.Record, text string) result.Content {
	hasOwnMarker := false
	for _, marker := range markerPattern.FindAllString(text, -1) {
		if marker != record.Request.Marker {
			return result.Foreign
		}
		hasOwnMarker = true
	}
	chat := record.Request.Chat
	switch {
	case !hasOwnMarker:
		return result.Unmarked
	case chat != nil && record.Tokens < chat.Tokens:
		return result.Short
	case chat != nil && record.Tokens > chat.Tokens:
		return result.Long
	}
	return result.Own
}
