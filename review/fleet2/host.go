package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	region = "cotes-armor"
	// program is the one that the deploy file builds.
	program = "target/cicadaloom"
)

// zones are those of the region.
var zones = []string{"lannion-a", "paimpol-a"}

// host is a machine of the system: one process of the deploy file's role.
type host struct {
	name      string
	zone      string
	cores     float64
	callers   string
	ready     string
	peers     string
	metrics   string
	settings  string
	folder    string
	record    *record
	command   *exec.Cmd
	ended     chan struct{}
	startedAt time.Time
}

// ports are never those of outgoing connections, which could take the port of a process that starts
// again.
const (
	firstPort = 20000
	lastPort  = 30000
)

var lastUsedPort atomic.Int64

// freeAddress returns an address that nothing listens at.
func freeAddress() string {
	ip := fmt.Sprintf("127.%d.%d.9", 1+os.Getpid()>>8&0x3f, os.Getpid()&0xff)
	for {
		port := firstPort + lastUsedPort.Add(1)
		if port > lastPort {
			panic("no free port")
		}
		address := net.JoinHostPort(ip, strconv.FormatInt(port, 10))
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close() // only whether it is free matters
			return address
		}
	}
}

// listen listens at a free address.
func listen() net.Listener {
	listener, err := net.Listen("tcp", freeAddress())
	if err != nil {
		panic(err)
	}
	return listener
}

func newHost(folder string, log *record, name, zone string, cores float64) *host {
	return &host{
		name:     name,
		zone:     zone,
		cores:    cores,
		callers:  freeAddress(),
		ready:    freeAddress(),
		peers:    freeAddress(),
		metrics:  freeAddress(),
		settings: filepath.Join(folder, name+".json"),
		folder:   folder,
		record:   log,
	}
}

// writeSettings renders the settings as the deploy file's template does for a small deployment.
func (h *host) writeSettings(storeAddress string, seeds []string, isFirstStart bool) {
	regions := make(map[string]string, len(zones))
	for _, zone := range zones {
		regions[zone] = region
	}
	text, err := json.Marshal(map[string]any{
		"Host":     map[string]any{"Name": h.name, "DataCentre": h.zone, "Region": region, "DataCentres": regions},
		"Listen":   map[string]any{"Callers": h.callers, "Ready": h.ready, "Peers": h.peers, "Metrics": h.metrics},
		"KeyValue": storeAddress, "Seeds": seeds, "Memory": "284MiB", "Descriptors": 4100, "FirstStart": isFirstStart,
		"Locality":  map[string]any{"Spill": "Uneven"},
		"Processor": map[string]any{"Share": h.cores, "Speed": 1},
		"Bounds": map[string]any{
			"Grace": "8s", "HolderLease": "3000ms", "Fenced": true, "RetryRatio": 0.2, "RetryWindow": "10s", "RetrySlack": 168,
			"LoadWindow": "5s", "LoadOvershoot": 1.1,
		},
	})
	if err != nil {
		panic(err)
	}
	if err := os.WriteFile(h.settings, text, 0o600); err != nil {
		panic(err)
	}
}

// start starts the process.
func (h *host) start() {
	log, err := os.OpenFile(filepath.Join(h.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer func() { _ = log.Close() }()
	h.command = exec.Command(program, "gateway")
	h.command.Env = append(os.Environ(), "CICADALOOM_SETTINGS="+h.settings)
	h.command.Stdout, h.command.Stderr = log, log
	h.command.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := h.command.Start(); err != nil {
		panic(err)
	}
	h.startedAt = time.Now()
	h.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait() // how it ended is in the record of signals
		close(ended)
	}(h.command, h.ended)
	h.record.printf("host %s starts", h.name)
}

func (h *host) signal(signal syscall.Signal) {
	h.record.printf("host %s gets %s", h.name, signal)
	_ = h.command.Process.Signal(signal) // it may have ended
}

// end kills the process and waits for its end.
func (h *host) end() {
	if h.command == nil {
		return
	}
	_ = h.command.Process.Signal(syscall.SIGKILL)
	<-h.ended
}

func (h *host) isReady() bool {
	client := http.Client{
		Timeout: time.Second,
	}
	response, err := client.Get("http://" + h.ready + "/cicadaloom/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the host is ready, and reports whether it is in time.
func (h *host) awaitReady(timeout time.Duration) bool {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if h.isReady() {
			h.record.printf("host %s is ready", h.name)
			return true
		}
	}
	return false
}
