package relay

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cicadaloom/internal/control/backpressure"
	"cicadaloom/internal/control/balance"
	"cicadaloom/internal/control/pacing"
	"cicadaloom/internal/control/paths"
	"cicadaloom/internal/control/permits"
	"cicadaloom/internal/control/quota"
	"cicadaloom/internal/control/retries"
	"cicadaloom/internal/control/routetable"
	"cicadaloom/internal/control/streams"
	"cicadaloom/internal/control/suspects"
	"cicadaloom/internal/domain/account"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/request"
	"cicadaloom/internal/domain/route"
	"cicadaloom/internal/peer/upstream"
)

// testCodec is a minimal codec: one header per field.
type testCodec struct{}

func (testCodec) Decode(r *http.Request, arrived time.Time) (request.Request, error) {
	decoded := request.Request{
		ID:             ident.RequestID(r.Header.Get("Id")),
		Method:         r.Method,
		Target:         r.RequestURI,
		Path:           r.URL.Path,
		Host:           r.Host,
		Caller:         r.Header.Get("Caller"),
		Header:         r.Header,
		Model:          ident.ModelName(r.Header.Get("Weights")),
		Key:            r.Header.Get("Key"),
		ResumeAfter:    r.Header.Get("After"),
		ResumedRequest: ident.RequestID(r.Header.Get("Began")),
		ArrivedAt:      arrived,
	}
	for _, part := range strings.Fields(r.Header.Get("Parts")) {
		id, err := strconv.ParseUint(part, 16, 64)
		if err != nil {
			return request.Request{}, err
		}
		decoded.PromptParts = append(decoded.PromptParts, request.PromptPart{
			ID: id,
		})
	}
	if left, err := time.ParseDuration(r.Header.Get("Left")); err == nil {
		decoded.Deadline = arrived.Add(left)
	}
	return decoded, nil
}

func (testCodec) Encode(header http.Header, attempt *Attempt) {
	header.Set("To", string(attempt.Server))
	header.Set("Left", time.Until(attempt.Deadline).String())
	header.Set("Priority", strconv.Itoa(attempt.Priority))
	if attempt.HidesKey {
		header.Del("Key")
	}
	if attempt.Account != "" {
		header.Set("Account", string(attempt.Account))
	}
	if attempt.ResumeAfter != "" {
		header.Set("After", attempt.ResumeAfter)
	}
}

func (testCodec) DecodeAnswer(status int, header http.Header) Answer {
	return Answer{
		RequestID: ident.RequestID(header.Get("Id")),
		Signed:    header.Get("Signed") != "",
		NotRun:    header.Get("Not-Run") != "",
		Misplaced: status == http.StatusMisdirectedRequest,
		Signals: backend.Signals{
			RequestLimit: backend.ParseRequestLimit(header.Get("Limit")),
			RestUntil:    backend.ParseRetryAfter(header.Get("Rest"), "", time.Now()),
			IsLeaving:    header.Get("Leaving") != "",
			MaxRefusals:  backend.ParseMaxRefusals(header.Get("Brittle")),
			IsFull:       header.Get("Not-Run") != "" && status == http.StatusServiceUnavailable,
		},
	}
}

// testEnv is a handler whose backend servers are written by the test.
type testEnv struct {
	// replaced are servers whose entries name other incarnations by now.
	replaced  []ident.ServerName
	t         *testing.T
	handler   *Handler
	front     *httptest.Server
	pool      *balance.Pool
	pressures *backpressure.Table
	table     *routetable.Table
	// routesKnown is closed while there are routes.
	routesKnown     chan struct{}
	servers         []balance.ServerInfo
	mu              sync.Mutex
	arrived         []string // server name and request id of each request that arrived
	missingReported int
	queue           pacing.Queue
	issuer          permits.Issuer
	// permitsAsked counts the asks for permits; with isUndecided no issuer answers them.
	permitsAsked atomic.Int64
	isUndecided  atomic.Bool
	// reservations counts the reservations of engines. sendDelay, if it is set, is how long after
	// its reservation a prompt is to be sent.
	reservations atomic.Int64
	sendDelay    time.Duration
	// lastPrompt is the prompt that an engine was last reserved for.
	lastPrompt atomic.Pointer[pacing.Prompt]
	shutdown   context.CancelFunc
	// suspected is what the fleet knows of requests that crash servers.
	suspected suspects.Machine
	// unconfirmed are the losses whose servers are not known to have crashed yet, collected
	// while delaysCrashes is set.
	unconfirmed   []suspects.LostAttempt
	delaysCrashes bool
	suspectsAsked int
	// newerRoutes has routes that come into force while requests wait for them; isOutOfTouch
	// means that the host can't tell whether there are any.
	newerRoutes  chan *routetable.Table
	isOutOfTouch bool
	// remaining is what is left of the accounts' limits.
	remaining account.Amount
	// origins are the recorded origins of streams.
	origins map[ident.RequestID]streams.Origin
	// lends is how many retry tokens other hosts will lend.
	lends int
}

func (w *testEnv) AwaitRoutes(ctx context.Context) *routetable.Table {
	select {
	case <-w.routesKnown:
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.table
	case <-ctx.Done():
		return nil
	}
}

func (w *testEnv) AwaitNewerRoutes(ctx context.Context, _ *routetable.Table) (*routetable.Table, bool) {
	select {
	case newer := <-w.newerRoutes:
		w.setTable(newer)
		return newer, true
	case <-ctx.Done():
	}
	return w.table, !w.isOutOfTouch
}

func (w *testEnv) HasCurrentRoutes() bool {
	return !w.isOutOfTouch
}

func (w *testEnv) setTable(table *routetable.Table) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table = table
}

func (w *testEnv) Pool(service ident.ServiceName) *balance.Pool {
	if service != "desk" {
		return nil
	}
	return w.pool
}

func (w *testEnv) ReportMissingWeights() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.missingReported++
}

func (w *testEnv) Reserve(_ context.Context, _ ident.ModelName, prompt *pacing.Prompt) (pacing.Reservation, func()) {
	prompt.MayWait = true
	reservation, waiting := w.queue.Reserve(time.Now(), prompt)
	if waiting != nil {
		w.queue.Remove(waiting)
	}
	if w.sendDelay > 0 && reservation.Booked {
		reservation.SendAt = time.Now().Add(w.sendDelay)
	}
	w.reservations.Add(1)
	w.lastPrompt.Store(prompt)
	return reservation, func() { w.queue.Release(time.Now(), reservation.Server, prompt.Ticket) }
}

// Permit issues permits as a host does that is the only one.
func (w *testEnv) Permit(_ context.Context, ask permits.Ask) permits.Answer {
	w.permitsAsked.Add(1)
	if w.isUndecided.Load() {
		return permits.Answer{
			SendAt: time.Now().Add(time.Second),
		}
	}
	return w.issuer.Issue(time.Now(), permits.Rank{}, ask)
}

// SettlePermit settles a permit at once.
func (w *testEnv) SettlePermit(_ pacing.Host, ask permits.Ask) {
	w.issuer.Issue(time.Now(), permits.Rank{}, ask)
}

// ReportLimitEnded has no other host to pass the end of a limit on to.
func (w *testEnv) ReportLimitEnded(permits.Ask) {}

// ReportBrittle has no other host to tell.
func (w *testEnv) ReportBrittle() {}

// Admit grants what is left of the accounts' limits.
func (w *testEnv) Admit(_ context.Context, name ident.AccountName, cost account.Amount, _ int) quota.Grant {
	w.mu.Lock()
	defer w.mu.Unlock()
	grant := quota.Grant{
		Granted:    w.remaining >= cost,
		Account:    name,
		Amount:     cost,
		RetryAfter: 2 * time.Second,
	}
	if grant.Granted {
		w.remaining -= cost
	}
	return grant
}

// FindStream finds streams that were recorded, and others while all servers run one build.
func (w *testEnv) FindStream(_ context.Context, began ident.RequestID, service ident.ServiceName) (streams.Origin, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if origin, known := w.origins[began]; known {
		return origin, true
	}
	builds := w.pool.Builds(time.Now(), streams.Retention)
	if len(builds) != 1 {
		return streams.Origin{}, false
	}
	return streams.Origin{
		Service: service,
		Build:   builds[0],
	}, true
}

func (w *testEnv) ConfirmServer(_ context.Context, _ ident.ServiceName, server ident.ServerName, _ ident.Incarnation) bool {
	return !slices.Contains(w.replaced, server)
}

func (w *testEnv) AwaitStored(context.Context, ident.RequestID) {}

func (w *testEnv) RecordStream(began ident.RequestID, _ ident.ServerName, origin streams.Origin) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.origins[began] = origin
}

// PathTo connects to servers directly.
func (w *testEnv) PathTo(paths.Server, string) upstream.Path {
	return upstream.Path{}
}

func (w *testEnv) Refund(grant quota.Grant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.remaining += grant.Amount
}

func (w *testEnv) Borrow(context.Context, ident.ServiceName) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lends--
	return w.lends >= 0
}

func (w *testEnv) Suspects() *suspects.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.suspectsAsked++
	return w.suspected.View()
}

// countSuspectsAsked counts how often it was asked for the suspects.
func (w *testEnv) countSuspectsAsked() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.suspectsAsked
}

// recordCrashes makes it known that servers have crashed under a request.
func (w *testEnv) recordCrashes(fingerprint ident.Fingerprint, servers ...ident.ServerName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, server := range servers {
		w.suspected.Step(time.Now(), suspects.Crash{
			Fingerprint: fingerprint,
			ServerIncarnation: suspects.ServerIncarnation{
				Server: server,
			},
		})
	}
}

// ReportLostAttempt counts every server that breaks off as crashed.
func (w *testEnv) ReportLostAttempt(loss suspects.LostAttempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.delaysCrashes {
		w.unconfirmed = append(w.unconfirmed, loss)
		return
	}
	w.recordLoss(&loss)
}

func (w *testEnv) recordLoss(loss *suspects.LostAttempt) {
	for _, crash := range loss.Crashes() {
		w.suspected.Step(time.Now(), crash)
	}
}

// confirmCrashes makes it known that the servers of all losses so far have crashed.
func (w *testEnv) confirmCrashes() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.unconfirmed {
		w.recordLoss(&w.unconfirmed[i])
	}
	w.unconfirmed = nil
}

func (w *testEnv) ReportCleared(fingerprint ident.Fingerprint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.suspected.Step(time.Now(), suspects.Cleared{
		Fingerprint: fingerprint,
	})
}

func (w *testEnv) ReportHarmless(part suspects.Part) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.suspected.Step(time.Now(), suspects.HarmlessPart{
		Part: part,
	})
}

func newTestEnv(t *testing.T, r route.Route) *testEnv {
	r.Host = "desk.example"
	r.Prefix = "/"
	r.Targets = []route.Target{{
		Service: "desk",
		Weight:  1,
	}}
	pressures := &backpressure.Table{}
	w := &testEnv{
		t:         t,
		pressures: pressures,
		origins:   make(map[ident.RequestID]streams.Origin),
		pool:      balance.NewPool(balance.Location{}, pressures),
		table: routetable.New(&route.Configuration{
			Routes: []route.Route{r},
			Limits: route.Limits{
				MaxBody: 1 << 10,
			},
		}),
	}
	w.routesKnown = make(chan struct{})
	w.newerRoutes = make(chan *routetable.Table, 1)
	close(w.routesKnown)
	w.suspected.Harmless = &suspects.Answered{}
	shutdownContext, shutdown := context.WithCancel(context.Background())
	w.shutdown = shutdown
	var counter atomic.Uint64
	w.handler = &Handler{
		Codec:        testCodec{},
		ControlPlane: w,
		Upstream:     &upstream.Client{},
		Budget: retries.New(retries.Options{
			Ratio:  1,
			Window: time.Second,
			Slack:  100,
		}),
		Log:           zap.NewNop(),
		Metrics:       NewMetrics(metrics.NewSet()),
		HarmlessParts: w.suspected.Harmless,
		Now:           time.Now,
		Random:        func() uint64 { return counter.Add(1) },
		Shutdown:      shutdownContext,
	}
	w.front = httptest.NewServer(w.handler)
	t.Cleanup(func() {
		shutdown()
		w.front.Close()
		w.handler.Upstream.Close()
	})
	return w
}

// serve adds a backend server.
func (w *testEnv) serve(name ident.ServerName, answer http.HandlerFunc) *httptest.Server {
	return w.serveBuild("", name, answer)
}

// serveBuild adds a backend server that runs some software.
func (w *testEnv) serveBuild(build ident.Build, name ident.ServerName, answer http.HandlerFunc) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		w.arrived = append(w.arrived, string(name)+" "+r.Header.Get("Id"))
		w.mu.Unlock()
		to.Header().Set("Id", r.Header.Get("Id"))
		to.Header().Set("Signed", string(name))
		answer(to, r)
	}))
	w.t.Cleanup(server.Close)
	w.servers = append(w.servers, balance.ServerInfo{
		Server: backend.Server{
			Name:    name,
			Kind:    backend.KindService,
			Address: server.Listener.Addr().String(),
			Build:   build,
		},
		Incarnation: "1",
		Slots:       4,
	})
	w.pool.SetServers(w.servers)
	return server
}

func (w *testEnv) arrivals() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.arrived...)
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error // from reading the body
}

func (w *testEnv) ask(method, id string, header http.Header) reply {
	w.t.Helper()
	response, err := w.open(context.Background(), method, id, header)
	require.NoError(w.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode,
		header: response.Header,
		body:   string(body),
		err:    err,
	}
}

func (w *testEnv) open(ctx context.Context, method, id string, header http.Header) (*http.Response, error) {
	var body io.Reader
	if text := header.Get("Text"); text != "" {
		body = strings.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, w.front.URL+"/x"+header.Get("Query"), body)
	require.NoError(w.t, err)
	r.Host = "desk.example"
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set("Id", id)
	return http.DefaultTransport.RoundTrip(r)
}

// answerWith answers with a status and a text.
func answerWith(status int, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	}
}

// refuse proves that the request did not run.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// breakOff ends the connection without an answer.
func breakOff(http.ResponseWriter, *http.Request) {
	panic(http.ErrAbortHandler)
}

// events streams the events from the one after the request's last event up to the given
// last one. If cut is not 0, the server breaks off in the middle of event cut.
func events(last, cut int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		first := 1
		if after, err := strconv.Atoi(r.Header.Get("After")); err == nil {
			first = after + 1
		}
		out := bufio.NewWriter(w)
		for n := first; n <= last; n++ {
			_, _ = out.WriteString("id: " + strconv.Itoa(n) + "\n")
			if n == cut {
				_ = out.Flush()
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = out.WriteString("data: piece " + strconv.Itoa(n) + "\n\n")
			_ = out.Flush()
			w.(http.Flusher).Flush()
		}
	}
}

func wholeStream(last int) string {
	text := ""
	for n := 1; n <= last; n++ {
		text += "id: " + strconv.Itoa(n) + "\ndata: piece " + strconv.Itoa(n) + "\n\n"
	}
	return text
}
