// Play shows that a holder that never ordered makes the next one start at once, though the
// holder before it has just ordered.
//
// # Usage
//
//	TROUBLE=0 play -folder review/2    # the same traffic without the disruptions
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
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

const (
	hostCount = 4
	// holderLease is lease_ms, within which holders must not take turns.
	holderLease = 3 * time.Second
	holderKey   = "servers-cicadaloom/holder"
	adapters    = 40
	requestGap  = 60 * time.Millisecond
	timeout     = 2 * time.Second
	playTime    = 100 * time.Second
	readyTime   = 15 * time.Second
	// steadyTime is how long a holder gives orders before it is cut off.
	steadyTime = 5 * time.Second
	// stopGap is between two planned stops, as gap_s on the pages.
	stopGap  = time.Second
	stepTime = 4 * time.Second
	exitTime = 10 * time.Second
	pollTime = 5 * time.Millisecond
)

// member is one host with its link to the store.
type member struct {
	name string
	host *rig.Host
	link *rig.Link
}

// play is one run of the script.
type play struct {
	hasTrouble bool
	record     *os.File
	began      time.Time
	store      *rig.Store
	members    []*member
	seeds      []string

	mu     sync.Mutex
	orders []rig.Order
	served int
}

func main() {
	folder := flag.String("folder", "review/2", "where record.txt is written")
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
	scratch, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return exitNotRun, errors.Wrap(err, "temporary folder")
	}
	defer func() { _ = os.RemoveAll(scratch) }()
	p := &play{
		hasTrouble: os.Getenv("TROUBLE") != "0",
		record:     record,
		began:      time.Now(),
	}
	if p.store, err = rig.StartStore(); err != nil {
		return exitNotRun, err
	}
	defer p.store.Close()
	if err := p.store.Put("op/config", configuration()); err != nil {
		return exitNotRun, err
	}
	engine := &rig.Engine{
		ID:           "i-1",
		Service:      "redator",
		DataCentre:   "brest-a",
		Slots:        32,
		Model:        "m0",
		AdapterSlots: 8,
		Ordered:      p.noteOrder,
	}
	if err := engine.Start(p.store); err != nil {
		return exitNotRun, err
	}
	defer engine.Stop()
	defer p.stopHosts()
	if err := p.startHosts(scratch); err != nil {
		return exitNotRun, err
	}
	p.playAll()
	return p.judge(), nil
}

func configuration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name":              "r-notes",
			"host":              "notes.example",
			"prefix":            "/notes/",
			"route_kind":        "safe",
			"timeout_ms":        timeout.Milliseconds(),
			"target_latency_ms": 400,
			"priority":          0,
			"service":           "redator",
			"max_attempts":      2,
		}},
		"services": []map[string]any{{
			"name":            "redator",
			"health_path":     "/health",
			"max_connections": 230,
			"engine": map[string]any{
				"slots":              32,
				"kv_capacity_tokens": 127221,
				"stride":             5,
				"host_mb":            130000,
				"disk_mb":            390000,
				"weights_mb":         200000,
				"adapter_slots":      8,
				"loads_per_s":        3.1,
				"models": []map[string]any{{
					"name":       "m0",
					"weights_mb": 65100,
					"load_s":     2.0,
					"disk_s":     1.6,
					"warm_s":     1.2,
					"adapters":   adapters,
					"adapter_mb": 12,
				}},
			},
		}},
		"limits": map[string]any{
			"max_header_bytes":  16384,
			"max_body_bytes":    4194304,
			"header_timeout_ms": 3000,
			"idle_timeout_ms":   15000,
		},
	}
}

func (p *play) startHosts(scratch string) error {
	for i := range hostCount {
		link, err := rig.StartLink(p.store.Address)
		if err != nil {
			return err
		}
		m := &member{
			name: "front-brest-a-" + strconv.Itoa(i+1),
			link: link,
		}
		m.host, err = rig.NewHost(rig.HostOptions{
			Name:       m.name,
			DataCentre: "brest-a",
			Store:      link.Address,
			Folder:     scratch,
			Unfenced:   true,
		})
		if err != nil {
			return err
		}
		p.members = append(p.members, m)
		p.seeds = append(p.seeds, m.host.Peers)
	}
	for _, m := range p.members {
		if err := m.host.Start(p.seeds[:3], true); err != nil {
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
		m.link.Close()
	}
}

// playAll lets clients ask for adapters in turn, and disturbs the holders.
func (p *play) playAll() {
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	var clients sync.WaitGroup
	clients.Go(func() { p.playClients(ctx) })
	for n := 1; ctx.Err() == nil; n++ {
		sleep(ctx, steadyTime)
		if p.hasTrouble && ctx.Err() == nil {
			p.disturb(ctx, n)
		}
	}
	clients.Wait()
}

func (p *play) playClients(ctx context.Context) {
	client := &http.Client{
		Timeout: timeout,
	}
	var requests sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		requests.Go(func() { p.send(client, p.members[n%hostCount].host, n) })
		sleep(ctx, requestGap)
	}
	requests.Wait()
}

func (p *play) send(client *http.Client, host *rig.Host, n int) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host.Callers+"/notes/"+strconv.Itoa(n), http.NoBody)
	if err != nil {
		return
	}
	request.Host = "notes.example"
	request.Header.Set("Request-Id", fmt.Sprintf("%016x", n))
	request.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	request.Header.Set("Model", "m0/a"+strconv.Itoa(n%adapters+1))
	request.Header.Set("Token-Usage", "100,10")
	request.Header.Set("Prompt-Prefix", fmt.Sprintf("%x:100", n+1))
	response, err := client.Do(request)
	if err != nil {
		return // the host stops, or is gone
	}
	_, _ = io.Copy(io.Discard, response.Body) // only the status counts
	_ = response.Body.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if response.StatusCode == http.StatusOK {
		p.served++
	}
}

// disturb cuts the holder off from the store for a moment, and stops the next three holders in
// turn, as a rolling restart may. Then it starts these again.
func (p *play) disturb(ctx context.Context, n int) {
	first := p.find(p.store.Value(holderKey))
	if first == nil {
		return
	}
	p.write("%d: %s is cut off from the store", n, first.name)
	first.link.SetCut(true)
	defer first.link.SetCut(false)
	var stopped []*member
	var stoppedAt time.Time
	before := first
	for i := range hostCount - 1 {
		holder := p.awaitHolder(ctx, before)
		if holder == nil || holder == first {
			break
		}
		if i == 1 {
			p.awaitOrderBy(ctx, holder)
			first.link.SetCut(false)
			p.write("%s reaches the store again", first.name)
		}
		sleep(ctx, time.Until(stoppedAt.Add(stopGap)))
		stoppedAt = time.Now()
		p.write("SIGTERM to %s", holder.name)
		_ = holder.host.Signal(syscall.SIGTERM) // it may have ended
		stopped = append(stopped, holder)
		before = holder
	}
	p.awaitHolder(ctx, before)
	for _, m := range stopped {
		p.restart(m)
	}
}

func (p *play) restart(m *member) {
	for until := time.Now().Add(exitTime); !m.host.HasExited() && time.Now().Before(until); {
		time.Sleep(pollTime)
	}
	m.host.Kill()
	if err := m.host.Start(p.seeds[:3], false); err != nil {
		p.write("%s doesn't start: %v", m.name, err)
	}
}

func (p *play) find(name string) *member {
	for _, m := range p.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

// awaitHolder waits for another holder than the one before; nil if none comes.
func (p *play) awaitHolder(ctx context.Context, before *member) *member {
	for until := time.Now().Add(stepTime); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(pollTime) {
		if holder := p.find(p.store.Value(holderKey)); holder != nil && holder != before {
			p.write("the holder is %s", holder.name)
			return holder
		}
	}
	return nil
}

// awaitOrderBy waits for an order of a holder.
func (p *play) awaitOrderBy(ctx context.Context, m *member) {
	since := time.Now()
	for until := since.Add(stepTime); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(pollTime) {
		if last, found := p.lastOrder(); found && last.Holder == m.name && last.At.After(since) {
			return
		}
	}
}

func (p *play) lastOrder() (rig.Order, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.orders) == 0 {
		return rig.Order{}, false
	}
	return p.orders[len(p.orders)-1], true
}

func (p *play) noteOrder(order *rig.Order, status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders = append(p.orders, *order)
	p.writeLocked("order %s %s/%s by %s, token %d: %d", order.Operation, order.Model, order.Adapter, order.Holder, order.Fencing, status)
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

// judge checks the rule ONE at the engine, which doesn't check fences: no holder orders, then
// another, then the first again within the lease, and no token is lower than one before.
func (p *play) judge() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	turns, lower := 0, 0
	for i := range p.orders {
		last := &p.orders[i]
		isOtherBetween := false
		for j := i - 1; j >= 0 && last.At.Sub(p.orders[j].At) < holderLease; j-- {
			if p.orders[j].Fencing > last.Fencing {
				lower++
			}
			if p.orders[j].Holder != last.Holder {
				isOtherBetween = true
				continue
			}
			if isOtherBetween {
				turns++
				p.writeLocked("ONE %s ordered at %.3f and %.3f, another holder between", last.Holder,
					p.orders[j].At.Sub(p.began).Seconds(), last.At.Sub(p.began).Seconds())
			}
			break
		}
	}
	summary := fmt.Sprintf("%d orders, %d requests served: %d turns of holders within %s, %d lower tokens after higher ones",
		len(p.orders), p.served, turns, holderLease, lower)
	p.writeLocked("%s", summary)
	fmt.Println(summary)
	switch {
	case turns+lower > 0:
		return exitBroken
	case len(p.orders) == 0 || p.served == 0:
		return exitNotRun
	}
	return exitHeld
}

func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}
