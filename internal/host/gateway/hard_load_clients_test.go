package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	tomb "gopkg.in/tomb.v2"
)

const (
	longPrefix   = "/long/"
	chatPrefix   = "/chat/"
	promptPrefix = "/prompt/"
	movedPrefix  = "/moved/"
	// answerTime is more than any request may take.
	answerTime = 10 * time.Second
	// A slow client reads slowReadBytes every slowReadPause.
	slowReadBytes = 16 << 10
	slowReadPause = 10 * time.Millisecond
)

// hardKind is a kind of request.
type hardKind struct {
	prefix string
	method string
	// account is the client account, empty for none.
	account string
	// isSlow is set if the client reads slowly; it leaves in the middle of one answer in four.
	isSlow bool
	pause  time.Duration
	// clients is how many clients send such requests.
	clients int
}

// hardKinds are plain requests of all kinds, and the prompts of a hot account and of three others.
func hardKinds() []hardKind {
	kinds := []hardKind{
		{
			prefix:  "/x/",
			method:  http.MethodGet,
			pause:   5 * time.Millisecond,
			clients: 4,
		},
		{
			prefix:  oncePrefix,
			method:  http.MethodPost,
			pause:   5 * time.Millisecond,
			clients: 4,
		},
		{
			prefix:  movedPrefix,
			method:  http.MethodGet,
			pause:   30 * time.Millisecond,
			clients: 2,
		},
		{
			prefix:  longPrefix,
			method:  http.MethodGet,
			isSlow:  true,
			pause:   5 * time.Millisecond,
			clients: 4,
		},
		{
			prefix:  chatPrefix,
			method:  http.MethodPost,
			pause:   20 * time.Millisecond,
			clients: 2,
		},
		{
			prefix:  promptPrefix,
			method:  http.MethodPost,
			account: "hot",
			pause:   2 * time.Millisecond,
			clients: 20,
		},
	}
	for _, account := range []string{"one", "two", "three"} {
		kinds = append(kinds, hardKind{
			prefix:  promptPrefix,
			method:  http.MethodPost,
			account: account,
			pause:   50 * time.Millisecond,
			clients: 1,
		})
	}
	return kinds
}

// hardTally counts what clients got.
type hardTally struct {
	mu sync.Mutex
	// wrong are answers that break a rule.
	wrong []string
	// once are the requests that may run once, notRun those that were told that they have not.
	once, notRun []string
	// served counts the whole answers by prefix and account, statuses all answers by status.
	served   map[string]int
	statuses map[int]int
	// unreached counts the requests whose host was gone, cut those that a killed host cut.
	unreached, cut int
}

func (t *hardTally) addWrong(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrong = append(t.wrong, text)
}

// addOnce records a request that may run once, by its method.
func (t *hardTally) addOnce(method, id string) {
	if method != http.MethodPost {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.once = append(t.once, id)
}

// hardClient sends requests of one kind through all hosts, over connections of its own that it keeps
// open until the host's process is gone.
type hardClient struct {
	soak   *hardSoak
	kind   hardKind
	name   string
	random *rand.Rand
	client http.Client
}

func (s *hardSoak) newClient(kind hardKind, name string, random *rand.Rand) *hardClient {
	transport := &http.Transport{}
	if kind.isSlow {
		transport.DialContext = dialWithSmallBuffer
	}
	s.t.Cleanup(transport.CloseIdleConnections)
	return &hardClient{
		soak:   s,
		kind:   kind,
		name:   name,
		random: random,
		client: http.Client{
			Transport: transport,
			Timeout:   answerTime,
		},
	}
}

// dialWithSmallBuffer makes the host, not the kernel, hold what the client has not read.
func dialWithSmallBuffer(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetReadBuffer(64 << 10)
}

func (c *hardClient) run(clients *tomb.Tomb) error {
	for n := 0; clients.Alive(); n++ {
		if process := c.soak.pick(c.random); process != nil {
			_ = c.send(process, c.name+"-"+strconv.Itoa(n)) // what must not happen is in the tally
		}
		time.Sleep(c.kind.pause)
	}
	return nil
}

// send sends one request. The error says why it did not get its whole answer.
func (c *hardClient) send(process *hardProcess, id string) error {
	r, err := http.NewRequest(c.kind.method, "http://"+process.callers+c.kind.prefix+id, nil)
	if err != nil {
		return errors.Wrap(err, id)
	}
	r.Host = "desk.example"
	r.Header.Set("Id", id)
	if c.kind.account != "" {
		r.Header.Set("Key", c.kind.account)
		r.Header.Set("Weights", "m")
	}
	c.soak.tally.addOnce(c.kind.method, id)
	isMoved := c.soak.isMoved.Load()
	response, err := c.client.Do(r)
	if err != nil {
		c.recordCut(process, id, err)
		return errors.Wrap(err, id)
	}
	defer response.Body.Close()
	body, err := c.read(response.Body)
	if err == nil {
		return c.record(response.StatusCode, id, body, isMoved)
	}
	// A stream that can't go on is cut, so that its client can't take the part for the whole.
	if !errors.Is(err, errLeft) && c.kind.prefix != chatPrefix {
		c.recordPart(process, id, err)
	}
	return errors.Wrap(err, id)
}

// errLeft means that the client has left in the middle of an answer.
var errLeft = errors.New("the client has left")

func (c *hardClient) read(body io.Reader) (string, error) {
	if !c.kind.isSlow {
		all, err := io.ReadAll(body)
		return string(all), err
	}
	var all strings.Builder
	leaveAt := longAnswer * 4
	if c.random.IntN(4) == 0 {
		leaveAt = c.random.IntN(longAnswer)
	}
	for all.Len() < leaveAt {
		_, err := io.CopyN(&all, body, slowReadBytes)
		if errors.Is(err, io.EOF) {
			return all.String(), nil
		}
		if err != nil {
			return "", err
		}
		time.Sleep(slowReadPause)
	}
	return "", errLeft
}

// recordPart records an answer that was cut after it had begun: its host must have been killed.
func (c *hardClient) recordPart(process *hardProcess, id string, err error) {
	t := &c.soak.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	if !process.isKilled.Load() {
		t.wrong = append(t.wrong, process.name+" cut the answer to "+id+": "+err.Error())
		return
	}
	t.cut++
}

// recordCut records a request without an answer: its host must be gone, or have shed the connection.
func (c *hardClient) recordCut(process *hardProcess, id string, err error) {
	t := &c.soak.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	var dial *net.OpError
	isUnreached := errors.As(err, &dial) && dial.Op == "dial"
	switch {
	case process.isKilled.Load() && isUnreached:
		t.unreached++
	case process.isKilled.Load():
		t.cut++
	case isUnreached:
		t.wrong = append(t.wrong, process.name+" was not there for "+id+": "+err.Error())
	default:
		process.cuts = append(process.cuts, id+": "+err.Error())
	}
}

// record checks an answer. The error says why it is not whole.
func (c *hardClient) record(status int, id, body string, isMoved bool) error {
	t := &c.soak.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statuses[status]++
	got := errors.Errorf("%s got status %d and %d bytes: %s", id, status, len(body), body[:min(len(body), 100)])
	switch {
	case status == http.StatusOK && c.isOwn(id, body, isMoved):
		t.served[c.kind.prefix+c.kind.account]++
		return nil
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		t.notRun = append(t.notRun, id)
	case status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
	default:
		t.wrong = append(t.wrong, got.Error())
	}
	return got
}

// isOwn reports whether a body is the whole answer to a request. isMoved tells that the new
// configuration was in force everywhere when it was sent.
func (c *hardClient) isOwn(id, body string, isMoved bool) bool {
	path := c.kind.prefix + id
	switch c.kind.prefix {
	case chatPrefix:
		return body == chatOf(id)
	case promptPrefix:
		return body == answerOf("models", path, id)
	case movedPrefix:
		return body == answerOf("new", path, id) || !isMoved && body == answerOf("old", path, id)
	default:
		return body == answerOf("old", path, id)
	}
}
