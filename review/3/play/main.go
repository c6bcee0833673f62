// Play shows that bytes of a replica that are no answer are collected without a bound, until
// the platform kills the host's process for its memory.
//
// # Usage
//
//	TROUBLE=0 play -folder review/3    # the same traffic without the wrong bytes
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

// The disruption: garble of one of the three replicas.
const (
	garbleShare = 0.02
	garbleTime  = 5 * time.Second
	// cycleTime is between the beginnings of two disruptions.
	cycleTime = 8 * time.Second
)

// The deployment and its traffic.
const (
	hostCount    = 2
	replicaCount = 3
	slots        = 6
	queue        = 24
	work         = 60 * time.Millisecond
	timeout      = 10 * time.Second
	rate         = 40.0 // requests a second
	// memoryLimit is memory_mb of a machine: the platform kills a process that exceeds it.
	memoryLimit = 284 << 20
	memoryPoll  = 20 * time.Millisecond
	restartTime = 500 * time.Millisecond
	playTime    = 90 * time.Second
	readyTime   = 15 * time.Second
	seed        = 7
	// maxEnds is how often a process may end by itself, at two machines.
	maxEnds = 3
)

// member is one host and how often its process has been killed for its memory.
type member struct {
	name string
	host *rig.Host
	ends int
	lost int
}

// play is one run of the script.
type play struct {
	hasTrouble bool
	record     *os.File
	began      time.Time
	members    []*member
	seeds      []string

	mu      sync.Mutex
	random  *rand.Rand
	garbled int
	served  int
}

func main() {
	folder := flag.String("folder", "review/3", "where record.txt is written")
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
	scratch, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return exitNotRun, errors.Wrap(err, "temporary folder")
	}
	defer func() { _ = os.RemoveAll(scratch) }()
	p := &play{
		hasTrouble: os.Getenv("TROUBLE") != "0",
		record:     record,
		began:      time.Now(),
		random:     rand.New(rand.NewPCG(seed, seed)),
	}
	store, err := rig.StartStore()
	if err != nil {
		return exitNotRun, err
	}
	defer store.Close()
	if err := store.Put("op/config", configuration()); err != nil {
		return exitNotRun, err
	}
	for i := range replicaCount {
		replica := p.newReplica(i)
		if err := replica.Start(store); err != nil {
			return exitNotRun, err
		}
		defer replica.Stop()
	}
	defer p.stopHosts()
	if err := p.startHosts(store, scratch); err != nil {
		return exitNotRun, err
	}
	p.playAll()
	return p.judge(), nil
}

func configuration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name":              "r-read",
			"host":              "desk.example",
			"prefix":            "/read/",
			"route_kind":        "safe",
			"timeout_ms":        timeout.Milliseconds(),
			"target_latency_ms": 400,
			"priority":          2,
			"service":           "booking-app",
			"max_attempts":      2,
		}},
		"services": []map[string]any{{
			"name":            "booking-app",
			"health_path":     "/health",
			"max_connections": 100,
		}},
		"limits": map[string]any{
			"max_header_bytes":  16384,
			"max_body_bytes":    4194304,
			"header_timeout_ms": 3000,
			"idle_timeout_ms":   15000,
		},
	}
}

func (p *play) newReplica(i int) *rig.Replica {
	return &rig.Replica{
		ID:         "i-" + strconv.Itoa(i+1),
		Service:    "booking-app",
		DataCentre: []string{"brest-a", "lannion-a", "quimper-a"}[i],
		Slots:      slots,
		Queue:      queue,
		Work:       work,
		Garbles:    func(arrival *rig.Arrival) bool { return i == 0 && p.drawGarble(arrival) },
	}
}

// drawGarble decides whether bytes that are no answer are sent in place of one.
func (p *play) drawGarble(arrival *rig.Arrival) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isOn := time.Since(p.began)%cycleTime < garbleTime
	if p.random.Float64() >= garbleShare || !isOn || !p.hasTrouble {
		return false
	}
	p.garbled++
	p.writeLocked("%s sends bytes that are no answer to %s", arrival.Replica, arrival.ID)
	return true
}

func (p *play) startHosts(store *rig.Store, scratch string) error {
	for i := range hostCount {
		m := &member{
			name: "front-brest-a-" + strconv.Itoa(i+1),
		}
		var err error
		m.host, err = rig.NewHost(rig.HostOptions{
			Name:       m.name,
			DataCentre: "brest-a",
			Store:      store.Address,
			Folder:     scratch,
		})
		if err != nil {
			return err
		}
		p.members = append(p.members, m)
		p.seeds = append(p.seeds, m.host.Peers)
	}
	for _, m := range p.members {
		if err := m.host.Start(p.seeds, true); err != nil {
			return err
		}
	}
	for _, m := range p.members {
		if err := m.host.AwaitReady(readyTime); err != nil {
			return err
		}
	}
	return nil
}

func (p *play) stopHosts() {
	for _, m := range p.members {
		m.host.Kill()
	}
}

// playAll sends requests at random instants, while the platform watches the hosts' memory.
func (p *play) playAll() {
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	var all sync.WaitGroup
	for _, m := range p.members {
		all.Go(func() { p.watchMemory(ctx, m) })
	}
	client := &http.Client{
		Timeout: timeout,
	}
	for n := 0; ctx.Err() == nil; n++ {
		all.Go(func() { p.send(client, p.members[n%hostCount], n) })
		time.Sleep(time.Duration(p.drawPause() * float64(time.Second)))
	}
	all.Wait()
}

func (p *play) drawPause() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.ExpFloat64() / rate
}

// watchMemory kills a process that exceeds its memory and starts it again, as the platform does.
func (p *play) watchMemory(ctx context.Context, m *member) {
	for ; ctx.Err() == nil; time.Sleep(memoryPoll) {
		memory := m.host.Memory()
		if memory <= memoryLimit {
			continue
		}
		m.host.Kill()
		p.mu.Lock()
		m.ends++
		p.writeLocked("%s is killed: it has %d MB of memory", m.name, memory>>20)
		p.mu.Unlock()
		time.Sleep(restartTime)
		if err := m.host.Start(p.seeds, false); err != nil {
			p.write("%s doesn't start: %v", m.name, err)
			return
		}
	}
}

func (p *play) send(client *http.Client, m *member, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	id := fmt.Sprintf("%016x", n)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.host.Callers+"/read/"+id, bytes.NewReader([]byte("read "+id)))
	if err != nil {
		return
	}
	request.Host = "desk.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	response, err := client.Do(request)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		m.lost++
		p.writeLocked("%s gets no answer", id)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body) // only the status counts
	_ = response.Body.Close()
	p.writeLocked("%s is answered %d", id, response.StatusCode)
	if response.StatusCode == http.StatusOK {
		p.served++
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

// judge checks whether processes end by themselves three times at two machines or more.
func (p *play) judge() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	machines, ends, lost := 0, 0, 0
	for _, m := range p.members {
		ends += m.ends
		lost += m.lost
		if m.ends >= maxEnds {
			machines++
		}
	}
	summary := fmt.Sprintf("%d served, %d answers garbled: %d processes over %d MB killed, three times or more at %d machines; %d requests without an answer",
		p.served, p.garbled, ends, memoryLimit>>20, machines, lost)
	p.writeLocked("%s", summary)
	fmt.Println(summary)
	switch {
	case machines >= 2:
		return exitBroken
	case p.served == 0:
		return exitNotRun
	}
	return exitHeld
}
