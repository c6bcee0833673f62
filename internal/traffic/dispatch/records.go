package dispatch

import (
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/burn"
	"cicadaloom/internal/control/decisions"
	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/domain/ident"
)

// Records stores what is needed to explain a request later: a line in the log
// and, for failures, a decision. Log must be set.
type Records struct {
	Log       *zap.Logger
	Decisions *decisions.Log
}

// RequestInfo identifies a request in logs and decisions.
type RequestInfo struct {
	Request ident.RequestID
	// Attempt is the latest one, empty before the first.
	Attempt ident.AttemptID
	Caller  ident.CallerName
	// Team is empty while it is not known.
	Team   ident.TeamName
	Class  ident.ClassName
	Target string
}

// fields returns the log fields of every line about a request. The logger
// itself adds host and data centre.
func (i *RequestInfo) fields(more ...zap.Field) []zap.Field {
	fields := []zap.Field{zap.String("RequestID", string(i.Request))}
	for _, field := range []struct{ name, value string }{
		{"AttemptID", string(i.Attempt)},
		{"Caller", string(i.Caller)},
		{"Team", string(i.Team)},
		{"Class", string(i.Class)},
		{"Target", i.Target},
	} {
		if field.value != "" {
			fields = append(fields, zap.String(field.name, field.value))
		}
	}
	return append(fields, more...)
}

// RecordFailure records a request that was refused or failed.
func (r *Records) RecordFailure(now time.Time, info *RequestInfo, failure *Failure) {
	r.Decisions.Add(decisions.Decision{
		Kind:    decisions.KindFailure,
		At:      now,
		Team:    info.Team,
		Request: info.Request,
		Attempt: info.Attempt,
		Target:  info.Target,
		Class:   info.Class,
		Code:    string(failure.Code),
		Run:     failure.Outcome.String(),
		Message: failure.Message,
		RetryAt: failure.RetryAt,
	})
	if line := r.Log.Check(zap.InfoLevel, "request given up"); line != nil {
		line.Write(info.fields(zap.String("Code", string(failure.Code)),
			zap.String("Run", failure.Outcome.String()), zap.String("Reason", failure.Message))...)
	}
}

// recordCancelled records a request whose caller disconnected. That is no
// decision of this host.
func (r *Records) recordCancelled(info *RequestInfo, failure *Failure) {
	if line := r.Log.Check(zap.DebugLevel, "request cancelled by its caller"); line != nil {
		line.Write(info.fields(zap.String("Run", failure.Outcome.String()))...)
	}
}

// recordAnswered records a request whose caller got the complete answer.
func (r *Records) recordAnswered(info *RequestInfo, result burn.Result, elapsed time.Duration) {
	if line := r.Log.Check(zap.DebugLevel, "request answered"); line != nil {
		line.Write(info.fields(zap.Stringer("Result", result), zap.Duration("Elapsed", elapsed))...)
	}
}

// recordLostAttempt records an attempt whose backend server stopped answering.
func (r *Records) recordLostAttempt(now time.Time, info *RequestInfo, choice routing.Choice, cause error) {
	r.Decisions.Add(decisions.Decision{
		Kind:    decisions.KindLostAttempt,
		At:      now,
		Team:    info.Team,
		Request: info.Request,
		Attempt: info.Attempt,
		Target:  info.Target,
		Class:   info.Class,
		Server:  choice.Replica.Server,
		Message: cause.Error(),
	})
	if line := r.Log.Check(zap.WarnLevel, "attempt lost"); line != nil {
		line.Write(info.fields(zap.String("Server", string(choice.Replica.Server)), zap.Error(cause))...)
	}
}

// records returns the Records of this dispatcher.
func (d *Dispatcher) records() *Records {
	return &Records{
		Log:       d.Log,
		Decisions: d.Decisions,
	}
}

// recordRefusal records a request that was refused before its team was known or
// its class was resolved.
func (d *Dispatcher) recordRefusal(request *Request, target string, team ident.TeamName, failure *Failure) *Failure {
	info := request.Info(target)
	info.Team = team
	d.records().RecordFailure(d.Now(), &info, failure)
	return failure
}

// Info returns the information that the request itself contains.
func (r *Request) Info(target string) RequestInfo {
	return RequestInfo{
		Request: r.ID,
		Caller:  r.Caller,
		Class:   r.Class,
		Target:  target,
	}
}

func (h *requestHandler) requestInfo() *RequestInfo {
	info := h.request.Info(h.target.Label())
	info.Team = h.target.Team
	info.Attempt = h.attempt
	if info.Attempt == "" {
		info.Attempt = h.claimAttempt
	}
	return &info
}
