package testbed

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
	tomb "gopkg.in/tomb.v2"
)

// answer is the response to a request.
type answer struct {
	status int
	header http.Header
	body   string
	// truncated reports that reading the body failed before its end.
	truncated bool
}

// transcriptHeaders are the response headers that a transcript shows, in this
// order. It is read-only: scenarios run in parallel and share it.
var transcriptHeaders = []string{
	"Cicadaloom-Replayed", "Cicadaloom-Run", "Content-Type", "Etag", "Retry-After", "X-Should-Retry",
}

func (a answer) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d\n", a.status)
	for _, name := range transcriptHeaders {
		if value := a.header.Get(name); value != "" {
			fmt.Fprintf(&text, "%s: %s\n", name, value)
		}
	}
	text.WriteString(strings.TrimRight(a.body, "\n") + "\n")
	if a.truncated {
		text.WriteString("(cut)\n")
	}
	return scrub(text.String())
}

// client opens a new connection for each request, as separate callers do.
var client = &http.Client{
	Timeout: waitTimeout,
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
}

func send(method, url string, headers []string, body string) (answer, error) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return answer{}, errors.Wrap(err, "request")
	}
	for _, line := range headers {
		name, value, _ := strings.Cut(line, ":")
		request.Header.Add(name, strings.TrimSpace(value))
	}
	response, err := client.Do(request)
	if err != nil {
		return answer{}, errors.Wrap(err, "request")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{
		status:    response.StatusCode,
		header:    response.Header,
		body:      string(data),
		truncated: err != nil,
	}, nil
}

// scrubbers replace the values that differ from run to run.
var scrubbers = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`\b(req|att|edit|inc|ord)-[0-9a-f]{8,}\b`), "$1-ID"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)`), "INSTANT"},
	{regexp.MustCompile(`127\.0\.\d+\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`"created":\d+`), `"created":0`},
	// An order is sent again until it is settled, so the count depends on the machine's speed.
	{regexp.MustCompile(`"OrdersReceived":\d+`), `"OrdersReceived":N`},
	{regexp.MustCompile(`\b\d+(\.\d+)?(ms|µs|s)\b`), "TIME"},
}

func scrub(text string) string {
	for _, s := range scrubbers {
		text = s.pattern.ReplaceAllString(text, s.replacement)
	}
	return text
}

// requestSpec is a request as a scenario's command line gives it.
type requestSpec struct {
	method  string
	path    string
	headers []string
	body    string
}

func parseRequest(ts *testscript.TestScript, args []string) requestSpec {
	usage(ts, len(args) >= 2, "METHOD PATH [HEADER: VALUE]... [-d BODY | -f FILE]")
	p := requestSpec{
		method: args[0],
		path:   args[1],
	}
	for i := 2; i < len(args); i++ {
		switch {
		case args[i] == "-d" && i+1 < len(args):
			i++
			p.body = args[i]
		case args[i] == "-f" && i+1 < len(args):
			i++
			p.body = ts.ReadFile(args[i])
		default:
			p.headers = append(p.headers, args[i])
		}
	}
	return p
}

// sendAndReport sends a request to an address and reports the answer.
func sendAndReport(ts *testscript.TestScript, neg bool, role, address string, p requestSpec) {
	got, err := send(p.method, "http://"+address+p.path, p.headers, p.body)
	if err != nil {
		fmt.Fprintf(&scenarioOf(ts).transcript, "%s: %s %s\nno answer\n", role, p.method, p.path)
		if !neg {
			ts.Fatalf("%s %s: %v", p.method, p.path, err)
		}
		return
	}
	reportAnswer(ts, neg, role, p, got)
}

// reportAnswer writes an answer to the transcript and to stdout. The scenario fails
// if neg expects an error and the request succeeded, or the reverse.
func reportAnswer(ts *testscript.TestScript, neg bool, role string, p requestSpec, got answer) {
	text := got.String()
	fmt.Fprintf(&scenarioOf(ts).transcript, "%s: %s %s\n%s\n", role, p.method, p.path, text)
	_, _ = io.WriteString(ts.Stdout(), text)
	if neg && got.status < http.StatusBadRequest && !got.truncated {
		ts.Fatalf("%s %s succeeded", p.method, p.path)
	}
	if !neg && got.status >= http.StatusBadRequest {
		ts.Fatalf("%s %s failed: %s", p.method, p.path, text)
	}
}

func cmdAsk(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, len(args) >= 3, "ask NAME METHOD PATH ...")
	sendAndReport(ts, neg, "caller", addressOf(ts, args[0]), parseRequest(ts, args[1:]))
}

func cmdOperator(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, len(args) >= 4, "operator NAME TOKEN METHOD PATH ...")
	p := parseRequest(ts, args[2:])
	p.headers = append(p.headers, "Authorization: Bearer "+args[1])
	sendAndReport(ts, neg, "operator", addressOf(ts, args[0]+"_operators"), p)
}

// addressOf returns the address of a process by its name; an address is returned as it is.
func addressOf(ts *testscript.TestScript, name string) string {
	if address := ts.Getenv(name); address != "" {
		return address
	}
	if !strings.Contains(name, ":") {
		ts.Fatalf("nothing listens under the name %s", name)
	}
	return name
}

func cmdFault(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) == 2, "fault NAME JSON")
	got, err := send(http.MethodPost, "http://"+addressOf(ts, args[0]+"_faults")+"/faults", nil, args[1])
	ts.Check(err)
	if got.status >= http.StatusBadRequest {
		ts.Fatalf("the fault was refused: %s", got)
	}
}

// cmdEdit puts a document with the revision in force at the host, or the one given,
// as its base. An edit that is expected to succeed is retried while the host
// answers 503.
func cmdEdit(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, len(args) >= 3 && len(args) <= 4, "edit NAME TEAM FILE [REVISION]")
	address := addressOf(ts, args[0]+"_operators")
	put := requestSpec{
		method:  http.MethodPut,
		path:    "/admin/documents/" + args[1],
		headers: []string{"Authorization: Bearer " + AdminToken},
		body:    ts.ReadFile(args[2]),
	}
	deadline := time.Now().Add(waitTimeout)
	for !neg && time.Now().Before(deadline) {
		got, err := send(put.method, "http://"+address+put.path, append(put.headers, ifMatch(address, args)), put.body)
		if err == nil && got.status != http.StatusServiceUnavailable {
			reportAnswer(ts, neg, "operator", put, got)
			return
		}
		time.Sleep(pollInterval)
	}
	put.headers = append(put.headers, ifMatch(address, args))
	sendAndReport(ts, neg, "operator", address, put)
}

// cmdRevision stores in a variable which revision of a team's document is in force
// at a host, as the If-Match header of an edit gives it.
func cmdRevision(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) == 3, "revision NAME TEAM VARIABLE")
	header := ifMatch(addressOf(ts, args[0]+"_operators"), args)
	ts.Setenv(args[2], strings.TrimPrefix(header, "If-Match: "))
}

// ifMatch returns the If-Match header with the base revision of an edit: the
// revision given, else the one in force at the host, else 0.
func ifMatch(address string, args []string) string {
	if len(args) == 4 {
		return `If-Match: "` + args[3] + `"`
	}
	got, err := send(http.MethodGet, "http://"+address+"/admin/documents/"+args[1], []string{"Authorization: Bearer " + AdminToken}, "")
	if err != nil || got.header.Get("Etag") == "" {
		return `If-Match: "0"`
	}
	return "If-Match: " + got.header.Get("Etag")
}

// cmdUntil repeats a request until its answer matches a pattern.
func cmdUntil(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) >= 4, "until PATTERN ask|operator NAME ...")
	until(ts, waitTimeout, args)
}

// cmdWithin is cmdUntil with a time limit of its own, for times that are promised.
func cmdWithin(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) >= 5, "within DURATION PATTERN ask|operator NAME ...")
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	until(ts, timeout, args[1:])
}

func until(ts *testscript.TestScript, timeout time.Duration, args []string) {
	pattern, err := regexp.Compile(args[0])
	ts.Check(err)
	address, p := resolve(ts, args[1:])
	deadline := time.Now().Add(timeout)
	last := ""
	for time.Now().Before(deadline) {
		if got, err := send(p.method, "http://"+address+p.path, p.headers, p.body); err == nil {
			last = got.String()
			if pattern.MatchString(last) {
				_, _ = io.WriteString(ts.Stdout(), last)
				return
			}
		}
		time.Sleep(pollInterval)
	}
	ts.Fatalf("no answer matched %s; the last was:\n%s", pattern, last)
}

// resolve parses "ask NAME METHOD PATH ..." or "operator NAME TOKEN METHOD PATH ..."
// into an address and a request.
func resolve(ts *testscript.TestScript, args []string) (string, requestSpec) {
	if args[0] == "operator" {
		usage(ts, len(args) >= 5, "operator NAME TOKEN METHOD PATH ...")
		p := parseRequest(ts, args[3:])
		p.headers = append(p.headers, "Authorization: Bearer "+args[2])
		return addressOf(ts, args[1]+"_operators"), p
	}
	usage(ts, args[0] == "ask" && len(args) >= 4, "ask NAME METHOD PATH ...")
	return addressOf(ts, args[1]), parseRequest(ts, args[2:])
}

// cmdMany sends a request many times concurrently. NAME may be a comma-separated
// list: the requests go to its hosts in turn. Output is a count per kind of answer.
func cmdMany(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) >= 5 && args[1] == "ask", "many N ask NAME[,NAME] METHOD PATH ...")
	var count int
	_, err := fmt.Sscan(args[0], &count)
	ts.Check(err)
	names := strings.Split(args[2], ",")
	p := parseRequest(ts, args[3:])
	addresses := make([]string, len(names))
	for i, name := range names {
		addresses[i] = addressOf(ts, name)
	}
	results := make([]string, count)
	var group tomb.Tomb
	group.Go(func() error {
		for i := range count {
			group.Go(func() error {
				got, err := send(p.method, "http://"+addresses[i%len(addresses)]+p.path, p.headers, p.body)
				results[i] = got.summary(err)
				return nil
			})
		}
		return nil
	})
	ts.Check(group.Wait())
	counts := make(map[string]int)
	for _, result := range results {
		counts[result]++
	}
	for _, result := range sortedKeys(counts) {
		fmt.Fprintf(ts.Stdout(), "%d x %s\n", counts[result], result)
	}
}

func (a answer) summary(err error) string {
	if err != nil {
		return "no answer"
	}
	text := itoa(a.status)
	if run := a.header.Get("Cicadaloom-Run"); run != "" {
		text += " " + run
	}
	if a.header.Get("Retry-After") != "" {
		text += ", come back"
	}
	if a.header.Get("Cicadaloom-Replayed") != "" {
		text += " replayed"
	}
	return text
}

func sortedKeys(counts map[string]int) []string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
