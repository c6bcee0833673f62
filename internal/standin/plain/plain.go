// Package plain is a stand-in for a plain service, such as a dispatch desk or a
// booking system: it echoes each request and counts how often it ran each one.
//
// # Usage
//
//	service := plain.New(plain.Options{})
//	address, err := service.Start("127.0.0.1:0")
//	defer service.Stop()
//
// Any method and path is answered with status 200 and an Echo as JSON, after
// WorkTime. At most Slots requests run at once; QueueLimit others wait, in order of arrival.
// `GET /stats` returns Stats, `GET /control/report` the server load. Faults are
// set at /faults.
//
// Each request runs in the goroutine of its HTTP handler; a mutex guards the
// counters.
package plain

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uptrace/bunrouter"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/standin/fault"
	"cicadaloom/internal/standin/server"
	"cicadaloom/internal/wire/engineapi"
)

// PathStats is the path of Stats.
const PathStats = "/stats"

// Defaults of Options.
const (
	DefaultSlots      = 16
	DefaultQueueLimit = 64
	DefaultWorkTime   = 5 * time.Millisecond
)

const (
	// maxCountedRuns bounds the request ids and the bodies whose runs are counted.
	// The first ones are kept, so that no count restarts.
	maxCountedRuns    = 1 << 17
	retryAfterSeconds = 1
)

// Options configures a Service. Zero values take the defaults.
type Options struct {
	Slots      int
	QueueLimit int
	// WorkTime is the time that a request runs.
	WorkTime time.Duration
}

// Faults are the failures that the service simulates, set at /faults.
type Faults struct {
	// Down closes each connection before the request is run.
	Down bool
	// FreezeRequests holds requests until it is cleared, then runs them, including
	// those whose client has disconnected, as a paused process does.
	FreezeRequests bool
	// CutAfterRun is the number of next requests that are run but whose connection
	// is closed without an answer.
	CutAfterRun int
	// Refuse refuses requests, with the header that proves that they were not run.
	Refuse bool
	// LeaveNow refuses requests as Refuse does, and reports Leaving.
	LeaveNow bool
	// RequestLimit is named in all answers, if it is not empty.
	RequestLimit string
	// RestFor refuses requests as Refuse does, with this Retry-After.
	RestFor string
	// SayLeaving says in all answers that the service is leaving.
	SayLeaving bool
	// WorkFor replaces the option WorkTime, if it is not 0.
	WorkFor fault.Duration
}

// Echo is the answer to a request.
type Echo struct {
	Method string
	Path   string
	Body   string
	// Run is how often this request id was run, including this time; 0 if runs are
	// not counted any more.
	Run int
}

// Stats are the service's counters.
type Stats struct {
	Incarnation ident.Incarnation
	// Runs counts runs by request id, RunsOfBody by the hash of the body in hex,
	// which identifies a request that was sent again under a new id.
	Runs        map[ident.RequestID]int
	RunsOfBody  map[string]int
	RunsNotKept int
	Refused     int
}

// Service is the simulated service. Create it with New.
type Service struct {
	Faults      fault.Switch[Faults]
	options     Options
	incarnation ident.Incarnation
	server      server.Server
	slots       chan struct{}

	mu      sync.Mutex
	stats   Stats
	waiting int
	leaving bool
}

// New returns a service that is not started yet.
func New(options Options) *Service {
	if options.Slots <= 0 {
		options.Slots = DefaultSlots
	}
	if options.QueueLimit <= 0 {
		options.QueueLimit = DefaultQueueLimit
	}
	if options.WorkTime <= 0 {
		options.WorkTime = DefaultWorkTime
	}
	return &Service{
		options:     options,
		incarnation: ident.NewIncarnation(),
		slots:       make(chan struct{}, options.Slots),
		stats: Stats{
			Runs:       make(map[ident.RequestID]int),
			RunsOfBody: make(map[string]int),
		},
	}
}

// Start starts the HTTP server and returns its address.
func (s *Service) Start(listen string) (string, error) {
	router := bunrouter.New(bunrouter.WithNotFoundHandler(server.Route(s.serve)))
	router.GET(engineapi.PathReport, server.Route(s.serveReport))
	router.GET(PathStats, server.Route(s.serveStats))
	router.GET(fault.Path, server.Route(s.Faults.ServeHTTP))
	router.POST(fault.Path, server.Route(s.Faults.ServeHTTP))
	return s.server.Start(listen, s.server.ApplyFaults(s.requestFaults(), router))
}

// Leave makes the service refuse new requests and report Leaving.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Stop calls Leave, waits for the requests in flight, and stops the service.
func (s *Service) Stop() error {
	s.Leave()
	return s.server.Stop()
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Incarnation = s.incarnation
	stats.Runs = maps.Clone(stats.Runs)
	stats.RunsOfBody = maps.Clone(stats.RunsOfBody)
	return stats
}

// BodyHash returns the key of a body in Stats.RunsOfBody.
func BodyHash(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

func (s *Service) requestFaults() server.RequestFaults {
	return server.RequestFaults{
		Changed:      s.Faults.Changed,
		IsFrozen:     func() bool { return s.Faults.Get().FreezeRequests },
		IsDown:       func() bool { return s.Faults.Get().Down },
		ExemptPaths:  []string{fault.Path, PathStats},
		IgnoreCancel: true,
	}
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, ok := server.ReadBody(w, r)
	if !ok {
		return
	}
	request := ident.RequestID(r.Header.Get(engineapi.HeaderRequest))
	w.Header().Set(engineapi.HeaderRequest, string(request))
	w.Header().Set(engineapi.HeaderIncarnation, string(s.incarnation))
	if limit := s.Faults.Get().RequestLimit; limit != "" {
		w.Header().Set(engineapi.HeaderRequestLimit, limit)
	}
	if s.Faults.Get().SayLeaving {
		w.Header().Set(engineapi.HeaderLeaving, "1")
	}
	if s.isLeaving() || s.Faults.Get().Refuse || s.Faults.Get().RestFor != "" || !s.acquire() {
		s.refuse(w)
		return
	}
	defer func() { <-s.slots }()
	run := s.countRun(request, body)
	// Unlike an engine, a plain service runs on after its client has disconnected.
	time.Sleep(s.workTime())
	if s.Faults.TakeOne(func(f *Faults) *int { return &f.CutAfterRun }) {
		server.CutConnection()
	}
	answer, err := json.Marshal(Echo{
		Method: r.Method,
		Path:   r.URL.RequestURI(),
		Body:   string(body),
		Run:    run,
	})
	server.WriteJSON(w, http.StatusOK, answer, err)
}

// acquire waits for a slot and returns false if the queue is full. Like the run
// itself it continues after the client has disconnected.
func (s *Service) acquire() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	if !s.addWaiting() {
		return false
	}
	s.slots <- struct{}{}
	s.removeWaiting()
	return true
}

func (s *Service) addWaiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= s.options.QueueLimit {
		return false
	}
	s.waiting++
	return true
}

func (s *Service) removeWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

func (s *Service) refuse(w http.ResponseWriter) {
	s.mu.Lock()
	s.stats.Refused++
	s.mu.Unlock()
	w.Header().Set(engineapi.HeaderNotRun, engineapi.NotRunProof)
	w.Header().Set("Retry-After", cmp.Or(s.Faults.Get().RestFor, strconv.Itoa(retryAfterSeconds)))
	http.Error(w, "not run", http.StatusServiceUnavailable)
}

func (s *Service) countRun(request ident.RequestID, body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.stats.Runs) >= maxCountedRuns || len(s.stats.RunsOfBody) >= maxCountedRuns {
		s.stats.RunsNotKept++
		return 0
	}
	s.stats.Runs[request]++
	s.stats.RunsOfBody[BodyHash(body)]++
	return s.stats.Runs[request]
}

func (s *Service) workTime() time.Duration {
	if override := time.Duration(s.Faults.Get().WorkFor); override > 0 {
		return override
	}
	return s.options.WorkTime
}

func (s *Service) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving || s.Faults.Get().LeaveNow
}

func (s *Service) serveReport(w http.ResponseWriter, _ *http.Request) {
	leaving := s.isLeaving()
	s.mu.Lock()
	waiting := s.waiting
	s.mu.Unlock()
	body, err := engineapi.EncodePlainReport(engineapi.PlainReport{
		Incarnation: s.incarnation,
		Running:     len(s.slots),
		Waiting:     waiting,
		Slots:       s.options.Slots,
		Leaving:     leaving,
	})
	server.WriteJSON(w, http.StatusOK, body, err)
}

func (s *Service) serveStats(w http.ResponseWriter, _ *http.Request) {
	body, err := json.Marshal(s.Stats())
	server.WriteJSON(w, http.StatusOK, body, err)
}
