package operator

import (
	"encoding/json"
	"net/http"
	"time"
)

// problemCode is the stable name of an administration error.
type problemCode string

const (
	codeNotFound     problemCode = "NotFound"
	codeUnauthorized problemCode = "Unauthorized"
	codeForbidden    problemCode = "Forbidden"
	codeBadInput     problemCode = "BadInput"
	codeConflict     problemCode = "Conflict"
	codeRefused      problemCode = "Refused"
	codeUnavailable  problemCode = "Unavailable"
	codeUnknown      problemCode = "Unknown"
)

// problem is an administration error.
type problem struct {
	Code    problemCode
	Message string
	// Faults are what is wrong with a document.
	Faults []wireFault `json:",omitempty"`
	// Revision and Theirs are what a conflicting edit has accepted.
	Revision int64  `json:",omitempty"`
	Theirs   string `json:",omitempty"`
	Yours    string `json:",omitempty"`
	// Edit names the edit, to submit it again.
	Edit    string     `json:",omitempty"`
	RetryAt *time.Time `json:",omitempty"`
}

type wireFault struct {
	Path    string
	Found   string
	Allowed string
}

func writeProblem(w http.ResponseWriter, status int, p problem) error {
	return writeJSON(w, status, p)
}

func writeJSON(w http.ResponseWriter, status int, value any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
