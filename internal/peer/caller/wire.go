package caller

import "encoding/json"

// chatBody has the fields of a chat request that this package reads; the engine gets
// the body unchanged.
type chatBody struct {
	Model    string            `json:"model"`
	Stream   bool              `json:"stream"`
	Messages []json.RawMessage `json:"messages"`
	// MaxTokens is the older name of MaxCompletionTokens.
	MaxTokens           int64 `json:"max_tokens"`
	MaxCompletionTokens int64 `json:"max_completion_tokens"`
}

// errorBody is an error in the format of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	// Run says whether the request was run: NotRun, MayHaveRun or Ran.
	Run string `json:"run"`
	// RetryAt is when to retry (RFC 3339); absent if a retry would not help.
	RetryAt string `json:"retry_at,omitempty"`
}

// modelList is the list of models in the format of the OpenAI API.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}
