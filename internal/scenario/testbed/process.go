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

// process is one process that a scenario has started.
type process struct {
	name    string
	command *exec.Cmd
	ready   chan string
	ended   chan struct{}
	code    int
	log     *os.File
	tomb    tomb.Tomb
}

// start runs a program and waits for its first line, which says that it is ready.
func (b *bed) start(ts *testscript.TestScript, name string, program string, args ...string) string {
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
	b.mu.Lock()
	b.processes[name] = p
	b.mu.Unlock()
	p.tomb.Go(func() error { return p.follow(out) })
	select {
	case line := <-p.ready:
		return line
	case <-p.ended:
		ts.Fatalf("%s ended at its start: %s", name, ts.ReadFile(name+".log"))
	case <-time.After(waitMost):
		ts.Fatalf("%s was not ready in time: %s", name, ts.ReadFile(name+".log"))
	}
	return ""
}

// follow reads what the process prints and takes note of its end.
func (p *process) follow(out io.Reader) error {
	defer close(p.ended)
	lines := bufio.NewScanner(out)
	if lines.Scan() {
		p.ready <- lines.Text()
	}
	_, _ = io.Copy(io.Discard, out)
	err := p.command.Wait()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		p.code = exit.ExitCode()
	}
	return p.log.Close()
}

func (b *bed) process(ts *testscript.TestScript, name string) *process {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, found := b.processes[name]
	if !found {
		ts.Fatalf("no process %s was started", name)
	}
	return p
}

// endAll ends what the scenario left running. Frozen processes end by KILL too.
func (b *bed) endAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.processes {
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
	p := bedOf(ts).process(ts, args[1])
	ts.Check(p.command.Process.Signal(signal))
	if signal == syscall.SIGKILL {
		<-p.ended
	}
}

func cmdEnded(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) >= 1 && len(args) <= 2, "ended NAME [CODE]")
	p := bedOf(ts).process(ts, args[0])
	select {
	case <-p.ended:
	case <-time.After(waitMost):
		ts.Fatalf("%s has not ended", p.name)
	}
	want := "0"
	if len(args) == 2 {
		want = args[1]
	}
	if got := itoa(p.code); got != want {
		ts.Fatalf("%s ended with code %s, not %s: %s", p.name, got, want, tail(ts.ReadFile(p.name+".log")))
	}
}

const tailLines = 30

func tail(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-tailLines):], "\n")
}
