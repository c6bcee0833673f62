package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	routeHost   = "ficu95.example"
	unsafeRoute = "/puxa403/"
)

// answer is what a client got for a request.
type answer struct {
	request string
	host    string
	sentAt  time.Time
	endedAt time.Time
	status  int
	body    string
	err     error
}

// clients send requests to hosts. With a key they authenticate by it.
type clients struct {
	record   *record
	prefix   string
	key      string
	model    string
	deadline time.Duration
	count    atomic.Int64
	mu       sync.Mutex
	all      []answer
}

// send sends one unsafe request to a host over a connection of its own.
func (c *clients) send(h *host) answer {
	id := fmt.Sprintf("%s%06d", c.prefix, c.count.Add(1))
	transport := &http.Transport{
		DisableKeepAlives: true,
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+h.callers+unsafeRoute+"2f", io.NopCloser(strings.NewReader("order "+id)))
	if err != nil {
		panic(err)
	}
	request.ContentLength = int64(len("order " + id))
	request.Host = routeHost
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.model != "" {
		request.Header.Set("Model", c.model)
		request.Header.Set("Token-Usage", "1460,80")
		request.Header.Set("Prompt-Prefix", "5c1e07a2:350,"+id[1:]+":1110")
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	got := answer{
		request: id,
		host:    h.name,
		sentAt:  time.Now(),
	}
	client := http.Client{
		Transport: transport,
		Timeout:   c.deadline + time.Second,
	}
	response, err := client.Do(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		got.status, got.body = response.StatusCode, string(body)
	}
	got.err = err
	got.endedAt = time.Now()
	c.record.printf("%s sent to %s: status %d, error %v, after %d ms", id, h.name, got.status, err, got.endedAt.Sub(got.sentAt).Milliseconds())
	c.mu.Lock()
	c.all = append(c.all, got)
	c.mu.Unlock()
	return got
}

// keepSending sends a request to a host every interval until done is closed.
func (c *clients) keepSending(h *host, interval time.Duration, done <-chan struct{}, ended *sync.WaitGroup) {
	ended.Add(1)
	go func() {
		defer ended.Done()
		var pending sync.WaitGroup
		defer pending.Wait()
		for {
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
			pending.Add(1)
			go func() {
				defer pending.Done()
				c.send(h)
			}()
		}
	}()
}

// list returns the answers so far.
func (c *clients) list() []answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]answer(nil), c.all...)
}
