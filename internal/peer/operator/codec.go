package operator

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// problemCode is the stable code of an administration error.
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

func writeProblem(w http.ResponseWriter, status int, p problem) error {
	if p.RetryAt != nil {
		wait := max(time.Until(*p.RetryAt), 0)
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
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
