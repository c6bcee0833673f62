package cicadaloom

import (
	"bytes"
	"flag"
	"net/http"
	"os"
	"strings"
	"time"

	"cicadaloom/internal/command/program"
	"cicadaloom/internal/peer/httpsend"

	"github.com/pkg/errors"
)

// tokenVariable is the environment variable with an operator's token: as an argument
// it would be visible in the process list.
const tokenVariable = "CICADALOOM_TOKEN"

const (
	clientTimeout = 30 * time.Second
	// maxReplyBytes bounds a reply, should the URL be that of another server.
	maxReplyBytes = 64 << 20
)

// client sends requests to the administration API of an entry host.
type client struct {
	base  string
	token string
	http  http.Client
}

// newHTTPClient returns the client that all commands use.
func newHTTPClient() http.Client {
	return http.Client{
		Timeout: clientTimeout,
		Transport: httpsend.NewTransport(&http.Transport{
			Proxy: http.ProxyFromEnvironment,
		}),
	}
}

// declareClientFlags declares the flags of every command that sends requests to a host.
func declareClientFlags(flags *flag.FlagSet) *client {
	c := &client{
		http: newHTTPClient(),
	}
	flags.StringVar(&c.base, "operators", "http://127.0.0.1:8081", "the `URL` of the administration of any entry host")
	flags.StringVar(&c.token, "token", os.Getenv(tokenVariable), "the operator's `token`; better given in "+tokenVariable)
	return c
}

// reply is a response of the administration API, with its body read.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func (c *client) call(method, path string, header http.Header, body []byte) (reply, error) {
	base := c.base
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	request, err := http.NewRequest(method, strings.TrimSuffix(base, "/")+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, program.InputErrorf("-operators: %v", err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return reply{}, errors.Wrap(err, "ask the host")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := httpsend.ReadBody(response.Body, maxReplyBytes)
	if err != nil {
		return reply{}, errors.Wrap(err, "ask the host")
	}
	return reply{
		status: response.StatusCode,
		header: response.Header,
		body:   data,
	}, nil
}

// get sends a GET request; a status of 400 or above is an error.
func (c *client) get(path string) (reply, error) {
	got, err := c.call(http.MethodGet, path, nil, nil)
	if err != nil {
		return got, err
	}
	return got, got.failure()
}

// failure returns the error of a response with a status of 400 or above, else nil.
// 400 and 422 mean invalid input.
func (r *reply) failure() error {
	switch {
	case r.status < http.StatusBadRequest:
		return nil
	case r.status == http.StatusBadRequest || r.status == http.StatusUnprocessableEntity:
		return program.InputErrorf("the host answered %d: %s", r.status, bytes.TrimSpace(r.body))
	default:
		return errors.Errorf("the host answered %d: %s", r.status, bytes.TrimSpace(r.body))
	}
}
