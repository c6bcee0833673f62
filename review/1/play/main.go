// Play shows that an extra answer of a replica, which comes late, is taken as proof that a
// request has not run.
//
// # Usage
//
//	TROUBLE=0 play -folder review/1    # the same without extra answers
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/review/rig"
)

// Results of the script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// The disruption: garble, "extra late", of one of the two replicas.
const (
	garbleShare = 0.03
	garbleTime  = 5 * time.Second
	// cycleTime is between the beginnings of two disruptions.
	cycleTime = 6 * time.Second
)

// The deployment and its traffic.
const (
	hostCount  = 2
	slots      = 1
	queue      = 3
	work       = 15 * time.Millisecond
	linkDelay  = 30 * time.Millisecond
	timeout    = time.Second
	deadline   = 2 * time.Second
	rate       = 60.0 // orders a second
	playTime   = 80 * time.Second
	readyTime  = 15 * time.Second
	settleTime = 3 * time.Second
	seed       = 7
)

// request is what is known of one client attempt.
type request struct {
	runs     []string
	statuses []int
}

// play is one run of the script.
type play struct {
	hasTrouble bool
	record     *os.File
	began      time.Time

	mu       sync.Mutex
	random   *rand.Rand
	requests map[string]*request
	extras   int
	refusals int
}

func main() {
	folder := flag.String("folder", "review/1", "where record.txt is written")
	flag.Parse()
	code, err := run(*folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		code = exitNotRun
	}
	os.Exit(code)
}

func run(folder string) (int, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return exitNotRun, errors.Wrap(err, "record")
	}
	defer func() { _ = record.Close() }()
	scratch, err := os.MkdirTemp("", "review-1-")
	if err != nil {
		return exitNotRun, errors.Wrap(err, "temporary folder")
	}
	defer func() { _ = os.RemoveAll(scratch) }()
	p := &play{
		hasTrouble: os.Getenv("TROUBLE") != "0",
		record:     record,
		began:      time.Now(),
		random:     rand.New(rand.NewPCG(seed, seed)),
		requests:   make(map[string]*request),
	}
	store, err := rig.StartStore()
	if err != nil {
		return exitNotRun, err
	}
	defer store.Close()
	if err := store.Put("op/config", configuration()); err != nil {
		return exitNotRun, err
	}
	for i, service := range []string{"dispatch-desk", "status-desk"} {
		replica := p.newReplica(i, service)
		if err := replica.Start(store); err != nil {
			return exitNotRun, err
		}
		defer replica.Stop()
	}
	hosts, err := startHosts(store, scratch)
	defer func() {
		for _, host := range hosts {
			host.Kill()
		}
	}()
	if err != nil {
		return exitNotRun, err
	}
	p.playClients(hosts)
	time.Sleep(settleTime)
	return p.judge(), nil
}

func configuration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name":              "r-boat",
			"host":              "desk.example",
			"prefix":            "/boat/",
			"route_kind":        "unsafe",
			"timeout_ms":        timeout.Milliseconds(),
			"target_latency_ms": 200,
			"priority":          2,
			"service":           "dispatch-desk",
			"max_attempts":      1,
		}},
		"services": []map[string]any{
			{
				"name":            "dispatch-desk",
				"health_path":     "/health",
				"max_connections": 100,
			},
			{
				"name":            "status-desk",
				"health_path":     "/health",
				"max_connections": 100,
			},
		},
		"limits": map[string]any{
			"max_header_bytes":  16384,
			"max_body_bytes":    4194304,
			"header_timeout_ms": 3000,
			"idle_timeout_ms":   15000,
		},
	}
}

func (p *play) newReplica(i int, service string) *rig.Replica {
	return &rig.Replica{
		ID:         "i-" + strconv.Itoa(i+1),
		Service:    service,
		DataCentre: "brest-a",
		Slots:      slots,
		Queue:      queue,
		Work:       work,
		LinkDelay:  linkDelay,
		LateExtra:  func(*rig.Answer) bool { return i == 0 && p.drawExtra() },
		Ran:        p.noteRun,
		Answered:   p.noteAnswer,
	}
}

// drawExtra decides whether an answer is sent once more.
func (p *play) drawExtra() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isOn := time.Since(p.began)%cycleTime < garbleTime
	return p.random.Float64() < garbleShare && isOn && p.hasTrouble
}

func startHosts(store *rig.Store, scratch string) ([]*rig.Host, error) {
	var hosts []*rig.Host
	var seeds []string
	for i := range hostCount {
		host, err := rig.NewHost(rig.HostOptions{
			Name:       "front-lannion-a-" + strconv.Itoa(i+1),
			DataCentre: "lannion-a",
			Store:      store.Address,
			Folder:     scratch,
		})
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, host)
		seeds = append(seeds, host.Peers)
	}
	var started []*rig.Host
	for _, host := range hosts {
		if err := host.Start(seeds, true); err != nil {
			return started, err
		}
		started = append(started, host)
	}
	for _, host := range hosts {
		if err := host.AwaitReady(readyTime); err != nil {
			return started, err
		}
	}
	return started, nil
}

// playClients sends orders at random instants, in turn to each host.
func (p *play) playClients(hosts []*rig.Host) {
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 100,
		},
		Timeout: deadline,
	}
	defer client.CloseIdleConnections()
	var orders sync.WaitGroup
	until := time.Now().Add(playTime)
	for n := 0; time.Now().Before(until); n++ {
		orders.Go(func() { p.send(client, hosts[n%len(hosts)], fmt.Sprintf("%016x", n)) })
		time.Sleep(time.Duration(p.drawPause() * float64(time.Second)))
	}
	orders.Wait()
}

func (p *play) drawPause() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.ExpFloat64() / rate
}

// send sends one order. A client may ask again after a refusal, under a new id; these
// clients don't.
func (p *play) send(client *http.Client, host *rig.Host, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	body := bytes.NewReader([]byte("boat " + id))
	order, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.Callers+"/boat/"+id, body)
	if err != nil {
		return
	}
	order.Host = "desk.example"
	order.Header.Set("Request-Id", id)
	order.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	p.write("sent %s", id)
	response, err := client.Do(order)
	status := 0
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body) // only the status counts
		_ = response.Body.Close()
		status = response.StatusCode
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(id).statuses = append(p.of(id).statuses, status)
	p.writeLocked("answered %s %d", id, status)
}

// of returns what is known of a request. The caller holds mu.
func (p *play) of(id string) *request {
	if p.requests[id] == nil {
		p.requests[id] = &request{}
	}
	return p.requests[id]
}

func (p *play) noteRun(arrival *rig.Arrival) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.of(arrival.ID).runs = append(p.of(arrival.ID).runs, arrival.Replica)
	p.writeLocked("run %s at %s", arrival.ID, arrival.Replica)
}

func (p *play) noteAnswer(arrival *rig.Arrival, answer *rig.Answer, isExtra bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case isExtra:
		p.extras++
		p.writeLocked("extra answer %d to %s by %s", answer.Status, arrival.ID, arrival.Replica)
	case answer.NotRun():
		p.refusals++
		p.writeLocked("refused %s by %s", arrival.ID, arrival.Replica)
	}
}

func (p *play) write(format string, values ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeLocked(format, values...)
}

// writeLocked writes a line of the record. The caller holds mu.
func (p *play) writeLocked(format string, values ...any) {
	fmt.Fprintf(p.record, "%8.3f "+format+"\n", append([]any{time.Since(p.began).Seconds()}, values...)...)
}

// judge checks the rules TWICE and REFUSED for all requests, none of which may be repeated.
func (p *play) judge() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	twice, refused, served := 0, 0, 0
	for id, r := range p.requests {
		if len(r.runs) > 1 {
			twice++
			p.writeLocked("TWICE %s ran at %v", id, r.runs)
		}
		for _, status := range r.statuses {
			switch status {
			case http.StatusOK:
				served++
			case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
				if len(r.runs) > 0 {
					refused++
					p.writeLocked("REFUSED %s answered %d, ran at %v", id, status, r.runs)
				}
			}
		}
	}
	summary := fmt.Sprintf("%d requests, %d served, %d refusals by replicas, %d extra answers: %d ran twice, %d answered as not run and ran",
		len(p.requests), served, p.refusals, p.extras, twice, refused)
	p.writeLocked("%s", summary)
	fmt.Println(summary)
	switch {
	case twice+refused > 0:
		return exitBroken
	case served == 0:
		return exitNotRun
	}
	return exitHeld
}
