package testbed

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
	tomb "gopkg.in/tomb.v2"
)

// process is an operating system process that a scenario has started. exitCode is
// valid once ended is closed.
type process struct {
	name     string
	command  *exec.Cmd
	ready    chan string
	ended    chan struct{}
	exitCode int
	log      *os.File
	tomb     tomb.Tomb
}

// start runs a program and returns its first line on stdout, which it prints once it
// is ready. Its stderr goes to NAME.log.
func (s *scenario) start(ts *testscript.TestScript, name string, program string, args ...string) string {
	log, err := os.Create(ts.MkAbs(name + ".log"))
	ts.Check(err)
	p := &process{
		name:    name,
		command: exec.Command(program, args...),
		ready:   make(chan string, 1),
		ended:   make(chan struct{}),
		log:     log,
	}
	p.command.Stderr = log
	p.command.Dir = ts.MkAbs(".")
	out, err := p.command.StdoutPipe()
	ts.Check(err)
	ts.Check(p.command.Start())
	s.mu.Lock()
	s.processes[name] = p
	s.mu.Unlock()
	p.tomb.Go(func() error { return p.monitor(out) })
	select {
	case line := <-p.ready:
		return line
	case <-p.ended:
		ts.Fatalf("%s ended at its start: %s", name, ts.ReadFile(name+".log"))
	case <-time.After(waitTimeout):
		ts.Fatalf("%s was not ready in time: %s", name, ts.ReadFile(name+".log"))
	}
	return ""
}

// monitor passes on the first line of stdout, discards the rest, and records the
// exit code.
func (p *process) monitor(out io.Reader) error {
	defer close(p.ended)
	lines := bufio.NewScanner(out)
	if lines.Scan() {
		p.ready <- lines.Text()
	}
	_, _ = io.Copy(io.Discard, out)
	err := p.command.Wait()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		p.exitCode = exit.ExitCode()
	}
	return p.log.Close()
}

func (s *scenario) process(ts *testscript.TestScript, name string) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, found := s.processes[name]
	if !found {
		ts.Fatalf("no process %s was started", name)
	}
	return p
}

// killAll kills all processes of the scenario. SIGKILL also ends stopped ones.
func (s *scenario) killAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		_ = p.command.Process.Signal(syscall.SIGKILL)
		<-p.ended
	}
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
	"TERM": syscall.SIGTERM,
}

func cmdSignal(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) == 2, "signal KILL|STOP|CONT|TERM NAME")
	signal, known := signals[args[0]]
	usage(ts, known, "signal KILL|STOP|CONT|TERM NAME")
	p := scenarioOf(ts).process(ts, args[1])
	ts.Check(p.command.Process.Signal(signal))
	if signal == syscall.SIGKILL {
		<-p.ended
	}
}

func cmdEnded(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) >= 1 && len(args) <= 2, "ended NAME [CODE]")
	p := scenarioOf(ts).process(ts, args[0])
	select {
	case <-p.ended:
	case <-time.After(waitTimeout):
		ts.Fatalf("%s has not ended", p.name)
	}
	want := "0"
	if len(args) == 2 {
		want = args[1]
	}
	if got := itoa(p.exitCode); got != want {
		ts.Fatalf("%s ended with code %s, not %s: %s", p.name, got, want, tail(ts.ReadFile(p.name+".log")))
	}
}

const tailLines = 30

func tail(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-tailLines):], "\n")
}
