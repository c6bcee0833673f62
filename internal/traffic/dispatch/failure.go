package dispatch

import (
	"net/http"
	"time"

	"cicadaloom/internal/domain/outcome"
)

// Code is the stable identifier of a failure, which callers may compare.
// docs/API.md lists all of them.
type Code string

// The failures that callers can receive.
const (
	CodeMalformed       Code = "malformed_request"
	CodeHeaderInvalid   Code = "header_invalid"
	CodeBodyTooLarge    Code = "body_too_large"
	CodeNotFound        Code = "not_found"
	CodeModelNotFound   Code = "model_not_found"
	CodeServiceNotFound Code = "service_not_found"
	CodeNoReplica       Code = "no_replica"
	CodeTooBusy         Code = "too_busy"
	CodeDeadlinePassed  Code = "deadline_passed"
	CodeBackendFailed   Code = "backend_failed"
	CodeBackendRefused  Code = "backend_refused"
	CodeStreamCut       Code = "stream_cut"
	CodeClaimedByOther  Code = "claimed_by_other"
	CodeAlreadyRun      Code = "already_run"
	CodeKeyReused       Code = "key_reused"
	CodeClaimRefused    Code = "claim_refused"
	CodeClaimUnknown    Code = "claim_unknown"
	CodeSuspect         Code = "request_refused_as_suspect"
	CodeStopping        Code = "stopping"
	CodeCancelled       Code = "cancelled"
)

// statuses maps each failure to its HTTP status.
var statuses = map[Code]int{
	CodeMalformed:       http.StatusBadRequest,
	CodeHeaderInvalid:   http.StatusBadRequest,
	CodeBodyTooLarge:    http.StatusRequestEntityTooLarge,
	CodeNotFound:        http.StatusNotFound,
	CodeModelNotFound:   http.StatusNotFound,
	CodeServiceNotFound: http.StatusNotFound,
	CodeNoReplica:       http.StatusServiceUnavailable,
	CodeTooBusy:         http.StatusTooManyRequests,
	CodeDeadlinePassed:  http.StatusGatewayTimeout,
	CodeBackendFailed:   http.StatusBadGateway,
	CodeBackendRefused:  http.StatusServiceUnavailable,
	CodeStreamCut:       http.StatusBadGateway,
	CodeClaimedByOther:  http.StatusConflict,
	CodeAlreadyRun:      http.StatusConflict,
	CodeKeyReused:       http.StatusUnprocessableEntity,
	CodeClaimRefused:    http.StatusServiceUnavailable,
	CodeClaimUnknown:    http.StatusServiceUnavailable,
	CodeSuspect:         http.StatusUnprocessableEntity,
	CodeStopping:        http.StatusServiceUnavailable,
	CodeCancelled:       499,
}

// Failure is the final answer to a request that failed or was refused.
type Failure struct {
	Code    Code
	Message string
	// Outcome says whether the request was run; only an attempt history can
	// provide it.
	Outcome outcome.Outcome
	// RetryAt is when the caller may repeat the request; zero where repeating
	// it does not help.
	RetryAt time.Time
	// ForbidsRetry tells clients not to repeat the request automatically.
	ForbidsRetry bool
}

// Error implements error.
func (f *Failure) Error() string {
	return string(f.Code) + ": " + f.Message
}

// Status returns the HTTP status.
func (f *Failure) Status() int {
	if status, known := statuses[f.Code]; known {
		return status
	}
	return http.StatusInternalServerError
}

// NewNotSentFailure returns the failure of a request that was not sent to any
// server.
func NewNotSentFailure(code Code, message string, retryAt time.Time) *Failure {
	var nothing outcome.AttemptHistory
	return &Failure{
		Code:    code,
		Message: message,
		Outcome: nothing.Outcome(),
		RetryAt: retryAt,
	}
}
