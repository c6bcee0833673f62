package dispatch

import (
	"time"

	"go.uber.org/zap"

	"cicadaloom/internal/control/burn"
	"cicadaloom/internal/control/decisions"
	"cicadaloom/internal/control/routing"
	"cicadaloom/internal/domain/ident"
)

// Records is where a request leaves what people may ask about it later: a line
// in the log, and for failures a decision. Log must be set.
type Records struct {
	Log       *zap.Logger
	Decisions *decisions.Log
}

// About says which request, and how far it had come.
type About struct {
	Request ident.RequestID
	// Attempt is the newest one, empty before the first.
	Attempt ident.AttemptID
	Caller  ident.CallerName
	// Team is empty while it is not known.
	Team   ident.TeamName
	Class  ident.ClassName
	Target string
}

// fields are on every line about a request; host and data centre are on every
// line of the log.
func (a *About) fields(more ...zap.Field) []zap.Field {
	fields := []zap.Field{zap.String("RequestID", string(a.Request))}
	for _, field := range []struct{ name, value string }{
		{"AttemptID", string(a.Attempt)},
		{"Caller", string(a.Caller)},
		{"Team", string(a.Team)},
		{"Class", string(a.Class)},
		{"Target", a.Target},
	} {
		if field.value != "" {
			fields = append(fields, zap.String(field.name, field.value))
		}
	}
	return append(fields, more...)
}

// Failed records a request that was refused or given up.
func (r *Records) Failed(now time.Time, about *About, failure *Failure) {
	r.Decisions.Add(decisions.Decision{
		Kind:    decisions.KindFailure,
		At:      now,
		Team:    about.Team,
		Request: about.Request,
		Attempt: about.Attempt,
		Target:  about.Target,
		Class:   about.Class,
		Code:    string(failure.Code),
		Run:     failure.Outcome.String(),
		Message: failure.Message,
		RetryAt: failure.RetryAt,
	})
	if line := r.Log.Check(zap.InfoLevel, "request given up"); line != nil {
		line.Write(about.fields(zap.String("Code", string(failure.Code)),
			zap.String("Run", failure.Outcome.String()), zap.String("Reason", failure.Message))...)
	}
}

// cancelled records a request whose caller has gone: no decision of this host.
func (r *Records) cancelled(about *About, failure *Failure) {
	if line := r.Log.Check(zap.DebugLevel, "request cancelled by its caller"); line != nil {
		line.Write(about.fields(zap.String("Run", failure.Outcome.String()))...)
	}
}

// answered records a request whose caller got the whole answer.
func (r *Records) answered(about *About, result burn.Result, elapsed time.Duration) {
	if line := r.Log.Check(zap.DebugLevel, "request answered"); line != nil {
		line.Write(about.fields(zap.Stringer("Result", result), zap.Duration("Elapsed", elapsed))...)
	}
}

// lost records an attempt at a backend server that fell silent.
func (r *Records) lost(now time.Time, about *About, choice routing.Choice, cause error) {
	r.Decisions.Add(decisions.Decision{
		Kind:    decisions.KindLoss,
		At:      now,
		Team:    about.Team,
		Request: about.Request,
		Attempt: about.Attempt,
		Target:  about.Target,
		Class:   about.Class,
		Server:  choice.Replica.Server,
		Message: cause.Error(),
	})
	if line := r.Log.Check(zap.WarnLevel, "attempt lost"); line != nil {
		line.Write(about.fields(zap.String("Server", string(choice.Replica.Server)), zap.Error(cause))...)
	}
}

// records gives where this host's requests leave their traces.
func (d *Dispatcher) records() *Records {
	return &Records{
		Log:       d.Log,
		Decisions: d.Decisions,
	}
}

// turnedAway records a request that was refused before its team was known or
// its class was understood.
func (d *Dispatcher) turnedAway(request *Request, target string, team ident.TeamName, failure *Failure) *Failure {
	about := request.About(target)
	about.Team = team
	d.records().Failed(d.Now(), &about, failure)
	return failure
}

// About gives what a request says of itself.
func (r *Request) About(target string) About {
	return About{
		Request: r.ID,
		Caller:  r.Caller,
		Class:   r.Class,
		Target:  target,
	}
}

func (j *journey) about() *About {
	about := j.request.About(j.target.Label())
	about.Team = j.target.Team
	about.Attempt = j.attempt
	if about.Attempt == "" {
		about.Attempt = j.claimed
	}
	return &about
}
