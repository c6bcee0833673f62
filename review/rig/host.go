package rig

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// HostOptions describes an entry host. The other settings are those of a small deployment,
// as the template of the deploy file renders them.
type HostOptions struct {
	Name       string
	DataCentre string
	// Address is a loopback address, 127.0.0.1 if empty.
	Address string
	// Store is the store's address.
	Store string
	// Folder is where the settings and the log are written.
	Folder string
	// Unfenced is whether engines accept the orders of earlier leaders.
	Unfenced bool
}

// Host is an entry host's process.
type Host struct {
	// Callers, Ready and Peers are its addresses.
	Callers string
	Ready   string
	Peers   string

	options HostOptions
	process *exec.Cmd
	exited  chan struct{}
}

// regions are the data centres of the deployment.
var regions = map[string]string{
	"brest-a":   "finistere",
	"lannion-a": "cotes-armor",
	"quimper-a": "finistere",
}

// NewHost chooses the addresses of an entry host.
func NewHost(options HostOptions) (*Host, error) {
	if options.Address == "" {
		options.Address = "127.0.0.1"
	}
	h := &Host{
		options: options,
	}
	for _, address := range []*string{&h.Callers, &h.Ready, &h.Peers} {
		free, err := FreeAddress(options.Address)
		if err != nil {
			return nil, err
		}
		*address = free
	}
	return h, nil
}

// FreeAddress returns an address with a free port.
func FreeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// Start starts the process with the command of the deploy file. Seeds are the peers'
// addresses of other hosts.
func (h *Host) Start(seeds []string, isFirstStart bool) error {
	settings, err := json.MarshalIndent(map[string]any{
		"Host": map[string]any{
			"Name":        h.options.Name,
			"DataCentre":  h.options.DataCentre,
			"Region":      regions[h.options.DataCentre],
			"DataCentres": regions,
		},
		"Listen": map[string]any{
			"Callers": h.Callers,
			"Ready":   h.Ready,
			"Peers":   h.Peers,
		},
		"KeyValue":    h.options.Store,
		"Seeds":       seeds,
		"Memory":      "284MiB",
		"Descriptors": 4100,
		"FirstStart":  isFirstStart,
		"Processor": map[string]any{
			"Share": 0.4,
			"Speed": 1,
		},
		"Bounds": map[string]any{
			"Grace":         "8s",
			"HolderLease":   "3000ms",
			"Fenced":        !h.options.Unfenced,
			"RetryRatio":    0.2,
			"RetryWindow":   "10s",
			"RetrySlack":    54,
			"LoadWindow":    "5s",
			"LoadOvershoot": 1.1,
		},
	}, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	file := filepath.Join(h.options.Folder, h.options.Name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	log, err := os.OpenFile(filepath.Join(h.options.Folder, h.options.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer func() { _ = log.Close() }() // the process has its own copy
	h.process = exec.CommandContext(context.Background(), "target/cicadaloom", "gateway")
	h.process.Env = append(os.Environ(), "CICADALOOM_SETTINGS="+file)
	h.process.Stdout, h.process.Stderr = log, log
	h.process.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL, // the script may be ended before it ends the host
	}
	if err := h.process.Start(); err != nil {
		return errors.Wrap(err, "start")
	}
	exited := make(chan struct{})
	h.exited = exited
	process := h.process
	go func() {
		_ = process.Wait() // how it ended doesn't matter
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(signal syscall.Signal) error {
	return h.process.Process.Signal(signal)
}

// HasExited reports whether the process has ended.
func (h *Host) HasExited() bool {
	select {
	case <-h.exited:
		return true
	default:
		return false
	}
}

// Memory returns the process's resident memory in bytes, 0 if it has ended.
func (h *Host) Memory() int64 {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(h.process.Process.Pid) + "/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(status))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// Kill ends the process, and waits until it is gone.
func (h *Host) Kill() {
	if h == nil || h.process == nil || h.process.Process == nil {
		return
	}
	_ = h.process.Process.Signal(syscall.SIGKILL) // it may have ended already
	<-h.exited
}

// readyPoll is how often a host is asked whether it is ready.
const readyPoll = 100 * time.Millisecond

// AwaitReady waits until the host says that it takes clients.
func (h *Host) AwaitReady(timeout time.Duration) error {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(readyPoll) {
		if h.IsReady() {
			return nil
		}
	}
	return errors.Errorf("host %s is not ready after %s", h.options.Name, timeout)
}

// IsReady asks the host whether it takes clients.
func (h *Host) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Ready+"/cicadaloom/ready", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
