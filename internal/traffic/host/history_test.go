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

// verdict is what a caller was told of a request that may not be repeated.
type verdict string

const (
	ranNow    verdict = "RanNow"
	ranBefore verdict = "RanBefore"
	notRun    verdict = "NotRun"
	mayHave   verdict = "MayHaveRun"
)

func verdictOf(status int, header http.Header, err error) verdict {
	switch run := header.Get("Cicadaloom-Run"); {
	case err == nil && status == http.StatusOK && header.Get("Cicadaloom-Replayed") != "", run == "Ran":
		return ranBefore
	case err == nil && status == http.StatusOK:
		return ranNow
	case run == "NotRun":
		return notRun
	default:
		return mayHave
	}
}

// onceModel is one request: it has run or not. Whoever is told MayHaveRun may
// have run it, at any time later too.
var onceModel = porcupine.NondeterministicModel{
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
		switch output.(verdict) {
		case ranNow:
			return only(!ran, true)
		case ranBefore:
			return only(ran, true)
		case notRun:
			return only(!ran, false)
		default:
			return []any{ran, true}
		}
	},
}

func only(allowed bool, next any) []any {
	if !allowed {
		return nil
	}
	return []any{next}
}

// keyValueFaults come one after the other while the callers ask.
var keyValueFaults = []etcd.Faults{
	{LoseAnswers: 3},
	{Slow: 5 * time.Millisecond, MaxDelay: 150 * time.Millisecond},
	{},
	{Down: true},
	{LoseAnswers: 2, Slow: 20 * time.Millisecond},
	{},
}

// editFaults leave out Down: an edit in an outage takes its whole patience. The
// model-based tests of package documents have that.
var editFaults = []etcd.Faults{
	{LoseAnswers: 2},
	{Slow: 5 * time.Millisecond, MaxDelay: 80 * time.Millisecond},
	{},
	{SilentWatches: true},
}

// recorder collects a history and switches the faults on its way.
type recorder struct {
	fleet *fleet
	// faults come one after the other, each after so many operations.
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
		r.fleet.platform.Store.SetFaults(r.faults[len(r.ops)/r.every%len(r.faults)])
	}
}

// Callers send the same dispatches through all hosts at once, while answers of
// the key-value service are lost, late or missing and the desk cuts connections
// after it ran a request. Each dispatch runs at most once, and what the callers
// are told of it fits one order of events.
func TestDispatchesThroughAllHostsAreLinearizable(t *testing.T) {
	const callers, asked, window, seed = 8, 45, 3, 7
	f := newFleet(t, 2, 3)
	_, err := f.platform.AddPlain("desk", "boat-dispatch", plain.Options{})
	require.NoError(t, err)
	f.put(historyDocument, 1)
	for _, running := range f.hosts {
		require.Eventually(t, func() bool {
			status, _, _, err := post(running.Callers, "/services/boat-dispatch/", "warm", "Idempotency-Key", "warm")
			return err == nil && status == http.StatusOK
		}, waitMost, waitEvery)
	}
	desk := f.platform.Plains["desk"]
	r := &recorder{
		fleet:  f,
		faults: keyValueFaults,
		every:  25,
	}
	began := time.Now()
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(caller)))
			for n := range asked {
				key := fmt.Sprintf("boat-%d", n/window*2+random.IntN(2))
				if random.IntN(60) == 0 {
					desk.Faults.Set(plain.Faults{
						CutAfterRun: 1,
					})
				}
				op := porcupine.Operation{
					ClientId: caller,
					Input:    key,
					Call:     time.Since(began).Nanoseconds(),
				}
				status, header, _, err := post(f.hosts[random.IntN(len(f.hosts))].Callers, "/services/boat-dispatch/", key,
					"Idempotency-Key", key, "Cicadaloom-Timeout", "2s")
				op.Output = verdictOf(status, header, err)
				op.Return = time.Since(began).Nanoseconds()
				if op.Output == mayHave {
					op.Return = time.Hour.Nanoseconds() // it may still run
				}
				r.add(op)
			}
		})
	}
	group.Wait()
	f.platform.Store.SetFaults(etcd.Faults{})
	counts := make(map[verdict]int)
	for _, op := range r.ops {
		counts[op.Output.(verdict)]++
	}
	t.Logf("seed %d: %v in %s", seed, counts, time.Since(began).Round(time.Millisecond))
	for body, runs := range desk.Stats().RunsOfBody {
		require.Equal(t, 1, runs, "body %s", body)
	}
	require.True(t, porcupine.CheckOperations(onceModel.ToModel(), r.ops))
	require.Positive(t, counts[ranNow])
	require.Positive(t, counts[ranBefore])
}

// edited is an operator's edit: the text that it replaces, and its own.
type edited struct {
	from, to string
}

// editModel is one document: its text. An edit of which the outcome is unknown
// may have been accepted.
var editModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		edit := input.(edited)
		fits := state.(string) == edit.from
		switch output.(int) {
		case http.StatusOK:
			return only(fits, edit.to)
		case http.StatusConflict:
			return only(!fits, state)
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

// Operators of one team edit through all hosts at once, each from what its host
// has in force, while the key-value service fails in its ways. Accepted edits
// form one chain, a conflict is a conflict, and no host ever goes back.
func TestEditsThroughAllHostsAreLinearizable(t *testing.T) {
	const operators, edits = 4, 20
	f := newFleet(t, 2, 3)
	f.put(historyDocument, 1)
	r := &recorder{
		fleet:  f,
		faults: editFaults,
		every:  10,
	}
	texts := make(map[string]string)
	latest := make([]ident.Revision, len(f.hosts))
	began := time.Now()
	var group sync.WaitGroup
	var reverted []string
	for operator := range operators {
		group.Go(func() {
			for n := range edits {
				at := (operator + n) % len(f.hosts)
				r.mu.Lock()
				tag, text := f.read(at)
				if revision := revisionOf(tag); revision < latest[at] || texts[tag] != "" && texts[tag] != text {
					reverted = append(reverted, fmt.Sprintf("entry-%d: %s after %d", at, tag, latest[at]))
				} else {
					latest[at], texts[tag] = revision, text
				}
				r.mu.Unlock()
				op := porcupine.Operation{
					ClientId: operator,
					Input: edited{
						from: text,
						to:   documentOf(fmt.Sprintf("desk-%d-%d", operator, n)),
					},
					Call: time.Since(began).Nanoseconds(),
				}
				op.Output = f.edit(at, tag, op.Input.(edited).to)
				op.Return = time.Since(began).Nanoseconds()
				if op.Output == http.StatusGatewayTimeout {
					op.Return = time.Hour.Nanoseconds()
				}
				r.add(op)
			}
		})
	}
	group.Wait()
	f.platform.Store.SetFaults(etcd.Faults{})
	counts := make(map[int]int)
	for _, op := range r.ops {
		counts[op.Output.(int)]++
	}
	t.Logf("%v in %s", counts, time.Since(began).Round(time.Millisecond))
	require.Empty(t, reverted)
	require.True(t, porcupine.CheckOperations(editModel.ToModel(), r.ops))
	require.Positive(t, counts[http.StatusOK])
	require.Positive(t, counts[http.StatusConflict])
	require.Eventually(t, func() bool {
		first, _ := f.read(0)
		second, _ := f.read(1)
		third, _ := f.read(2)
		return first == second && second == third
	}, waitMost, waitEvery)
}

func documentOf(service string) string {
	return `{"Team":"nour","DefaultClass":"Studio","Classes":[{"Name":"Studio","Share":30}],"Models":[],` +
		`"Services":[{"Name":"` + service + `","ForbidRepeat":["POST"],"Promise":{"FirstToken":"1s"}}]}`
}

func revisionOf(tag string) ident.Revision {
	var revision ident.Revision
	_, _ = fmt.Sscanf(tag, `"%d"`, &revision)
	return revision
}

func (f *fleet) admin(host int, method, tag, body string) (*http.Response, error) {
	request, err := http.NewRequest(method, "http://"+f.hosts[host].Operators+"/admin/documents/nour", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+adminToken)
	request.Header.Set("If-Match", tag)
	return http.DefaultClient.Do(request)
}

// read gives the revision and text of the document in force at a host, "0" for none.
func (f *fleet) read(host int) (string, string) {
	response, err := f.admin(host, http.MethodGet, "", "")
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

func (f *fleet) edit(host int, tag, text string) int {
	response, err := f.admin(host, http.MethodPut, tag, text)
	if err != nil {
		return http.StatusGatewayTimeout
	}
	defer response.Body.Close()
	return response.StatusCode
}
