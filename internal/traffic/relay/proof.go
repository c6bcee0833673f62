package relay

import (
	"cmp"
	"net/http"
	"strconv"

	"cicadaloom/internal/peer/upstream"
)

// proof is how a request, or one send of it, is known not to have run. The zero value is no proof.
type proof string

const (
	// nothingSent means that the request was sent to no server.
	nothingSent proof = "NothingSent"
	// notConnected means that no connection to a server opened.
	notConnected proof = "NotConnected"
	// refusedByServer means that the server's own answer says so.
	refusedByServer proof = "Refused"
)

// proofOf returns what a send that failed proves.
func proofOf(err error) proof {
	if upstream.MayHaveArrived(err) {
		return ""
	}
	return notConnected
}

// promisesNotRun reports whether a status tells clients that their request has not run and never
// will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// recordProof records what a send proves.
func (s *requestState) recordProof(sent *sendResult) {
	if sent.proof != "" && s.proof != refusedByServer {
		s.proof = sent.proof
	}
}

// proofNotRun returns how the request is known not to have run on any send.
func (s *requestState) proofNotRun() proof {
	switch {
	case !s.history.Outcome().IsNotRun():
		return ""
	case s.sends == 0:
		return nothingSent
	default:
		return s.proof
	}
}

// recordPromise counts the answers that promise that a request has not run, by their proof.
func (m *Metrics) recordPromise(status int, p proof) {
	label := string(cmp.Or(p, "None"))
	m.set.GetOrCreateCounter(`cicadaloom_promises_total{status="` + strconv.Itoa(status) + `",proof="` + label + `"}`).Inc()
}
