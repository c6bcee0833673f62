package host

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/standin/etcd"
	"cicadaloom/internal/standin/plain"
)

// runReport is what a caller was told about a request that may not be repeated.
type runReport string

const (
	ranNow     runReport = "RanNow"
	ranBefore  runReport = "RanBefore"
	notRun     runReport = "NotRun"
	mayHaveRun runReport = "MayHaveRun"
)

func readRunReport(status int, header http.Header, err error) runReport {
	switch run := header.Get("Cicadaloom-Run"); {
	case err == nil && status == http.StatusOK && header.Get("Cicadaloom-Replayed") != "", run == "Ran":
		return ranBefore
	case err == nil && status == http.StatusOK:
		return ranNow
	case run == "NotRun":
		return notRun
	default:
		return mayHaveRun
	}
}

// runOnceModel is the state of one request: whether it has run. A request
// reported as MayHaveRun may have run, or may still run at any later time.
var runOnceModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, operation := range history {
			byKey[operation.Input.(string)] = append(byKey[operation.Input.(string)], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		ran := state.(bool)
		switch output.(runReport) {
		case ranNow:
			return nextStateIf(!ran, true)
		case ranBefore:
			return nextStateIf(ran, true)
		case notRun:
			return nextStateIf(!ran, false)
		default:
			return []any{ran, true}
		}
	},
}

func nextStateIf(allowed bool, next any) []any {
	if !allowed {
		return nil
	}
	return []any{next}
}

// keyValueFaults are injected one after the other while the callers send
// requests.
var keyValueFaults = []etcd.Faults{
	{LoseAnswers: 3},
	{Slow: 5 * time.Millisecond, MaxDelay: 150 * time.Millisecond},
	{},
	{Down: true},
	{LoseAnswers: 2, Slow: 20 * time.Millisecond},
	{},
}

// editFaults don't include Down, since an edit during an outage takes its whole
// timeout. The model-based tests of package documents cover that case.
var editFaults = []etcd.Faults{
	{LoseAnswers: 2},
	{Slow: 5 * time.Millisecond, MaxDelay: 80 * time.Millisecond},
	{},
	{SilentWatches: true},
}

// recorder collects a history of operations and injects faults meanwhile.
type recorder struct {
	fleet *fleet
	// faults are injected in this order, the next one after every operations.
	faults []etcd.Faults
	every  int
	mu     sync.Mutex
	ops    []porcupine.Operation
}

func (r *recorder) add(op porcupine.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, op)
	if len(r.ops)%r.every == 0 {
		r.fleet.platform.KeyValueServer.SetFaults(r.faults[len(r.ops)/r.every%len(r.faults)])
	}
}

// Callers send the same requests through all hosts at once, while answers of
// the key-value service are lost, late or missing, and the plain service cuts
// connections after it ran a request. Each request must run at most once, and
// what the callers are told must be linearizable.
func TestDispatchesThroughAllHostsAreLinearizable(t *testing.T) {
	const callers, requests, window, seed = 8, 45, 3, 7
	f := newFleet(t, 2, 3)
	_, err := f.platform.AddPlainService("desk", "boat-dispatch", plain.Options{})
	require.NoError(t, err)
	f.putDocument(historyDocument, 1)
	for _, running := range f.hosts {
		require.Eventually(t, func() bool {
			status, _, _, err := postRequest(running.CallersAddress, "/services/boat-dispatch/", "warm", "Idempotency-Key", "warm")
			return err == nil && status == http.StatusOK
		}, waitTimeout, pollInterval)
	}
	desk := f.platform.PlainServices["desk"]
	r := &recorder{
		fleet:  f,
		faults: keyValueFaults,
		every:  25,
	}
	start := time.Now()
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(caller)))
			for n := range requests {
				key := fmt.Sprintf("boat-%d", n/window*2+random.IntN(2))
				if random.IntN(60) == 0 {
					desk.Faults.Set(plain.Faults{
						CutAfterRun: 1,
					})
				}
				op := porcupine.Operation{
					ClientId: caller,
					Input:    key,
					Call:     time.Since(start).Nanoseconds(),
				}
				status, header, _, err := postRequest(f.hosts[random.IntN(len(f.hosts))].CallersAddress, "/services/boat-dispatch/", key,
					"Idempotency-Key", key, "Cicadaloom-Timeout", "2s")
				op.Output = readRunReport(status, header, err)
				op.Return = time.Since(start).Nanoseconds()
				if op.Output == mayHaveRun {
					op.Return = time.Hour.Nanoseconds() // it may still run
				}
				r.add(op)
			}
		})
	}
	group.Wait()
	f.platform.KeyValueServer.SetFaults(etcd.Faults{})
	counts := make(map[runReport]int)
	for _, op := range r.ops {
		counts[op.Output.(runReport)]++
	}
	t.Logf("seed %d: %v in %s", seed, counts, time.Since(start).Round(time.Millisecond))
	for body, runs := range desk.Stats().RunsOfBody {
		require.Equal(t, 1, runs, "body %s", body)
	}
	require.True(t, porcupine.CheckOperations(runOnceModel.ToModel(), r.ops))
	require.Positive(t, counts[ranNow])
	require.Positive(t, counts[ranBefore])
}

// documentEdit is an operator's edit: the text that it replaces, and its own
// text.
type documentEdit struct {
	from, to string
}

// editModel is the text of one document. An edit with an unknown outcome may
// have been accepted.
var editModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		edit := input.(documentEdit)
		fits := state.(string) == edit.from
		switch output.(int) {
		case http.StatusOK:
			return nextStateIf(fits, edit.to)
		case http.StatusConflict:
			return nextStateIf(!fits, state)
		case http.StatusServiceUnavailable:
			return []any{state}
		default:
			if !fits {
				return []any{state}
			}
			return []any{state, edit.to}
		}
	},
}

// Operators of one team edit a document through all hosts at once, each
// starting from the text in force at its host, while the key-value service has
// faults. Accepted edits must form one chain, conflicts must be reported as
// such, and no host may return to an earlier revision.
func TestEditsThroughAllHostsAreLinearizable(t *testing.T) {
	const operators, edits = 4, 20
	f := newFleet(t, 2, 3)
	f.putDocument(historyDocument, 1)
	r := &recorder{
		fleet:  f,
		faults: editFaults,
		every:  10,
	}
	texts := make(map[string]string)
	latest := make([]ident.Revision, len(f.hosts))
	start := time.Now()
	var group sync.WaitGroup
	var reverted []string
	for operator := range operators {
		group.Go(func() {
			for n := range edits {
				host := (operator + n) % len(f.hosts)
				r.mu.Lock()
				tag, text := f.readDocument(host)
				if revision := parseRevision(tag); revision < latest[host] || texts[tag] != "" && texts[tag] != text {
					reverted = append(reverted, fmt.Sprintf("entry-%d: %s after %d", host, tag, latest[host]))
				} else {
					latest[host], texts[tag] = revision, text
				}
				r.mu.Unlock()
				op := porcupine.Operation{
					ClientId: operator,
					Input: documentEdit{
						from: text,
						to:   newDocument(fmt.Sprintf("desk-%d-%d", operator, n)),
					},
					Call: time.Since(start).Nanoseconds(),
				}
				op.Output = f.editDocument(host, tag, op.Input.(documentEdit).to)
				op.Return = time.Since(start).Nanoseconds()
				if op.Output == http.StatusGatewayTimeout {
					op.Return = time.Hour.Nanoseconds()
				}
				r.add(op)
			}
		})
	}
	group.Wait()
	f.platform.KeyValueServer.SetFaults(etcd.Faults{})
	counts := make(map[int]int)
	for _, op := range r.ops {
		counts[op.Output.(int)]++
	}
	t.Logf("%v in %s", counts, time.Since(start).Round(time.Millisecond))
	require.Empty(t, reverted)
	require.True(t, porcupine.CheckOperations(editModel.ToModel(), r.ops))
	require.Positive(t, counts[http.StatusOK])
	require.Positive(t, counts[http.StatusConflict])
	require.Eventually(t, func() bool {
		first, _ := f.readDocument(0)
		second, _ := f.readDocument(1)
		third, _ := f.readDocument(2)
		return first == second && second == third
	}, waitTimeout, pollInterval)
}

func newDocument(service string) string {
	return `{"Team":"nour","DefaultClass":"Studio","Classes":[{"Name":"Studio","Share":30}],"Models":[],` +
		`"Services":[{"Name":"` + service + `","ForbidRepeat":["POST"],"Promise":{"FirstToken":"1s"}}]}`
}

func parseRevision(tag string) ident.Revision {
	var revision ident.Revision
	_, _ = fmt.Sscanf(tag, `"%d"`, &revision)
	return revision
}

func (f *fleet) sendAdminRequest(host int, method, tag, body string) (*http.Response, error) {
	request, err := http.NewRequest(method, "http://"+f.hosts[host].OperatorsAddress+"/admin/documents/nour", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+adminToken)
	request.Header.Set("If-Match", tag)
	return http.DefaultClient.Do(request)
}

// readDocument returns the ETag and text of the document in force at a host, or
// "0" in quotes and no text if there is none.
func (f *fleet) readDocument(host int) (string, string) {
	response, err := f.sendAdminRequest(host, http.MethodGet, "", "")
	if err != nil {
		return `"0"`, ""
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return `"0"`, ""
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return `"0"`, ""
	}
	return response.Header.Get("Etag"), string(text)
}

func (f *fleet) editDocument(host int, tag, text string) int {
	response, err := f.sendAdminRequest(host, http.MethodPut, tag, text)
	if err != nil {
		return http.StatusGatewayTimeout
	}
	defer response.Body.Close()
	return response.StatusCode
}
