package standin

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"

	"cicadaloom/internal/command/program"
	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/unit"
	"cicadaloom/internal/peer/hostlist"
)

const (
	waitTimeout  = 10 * time.Second
	pollInterval = 2 * time.Millisecond
)

// runningCommand is a command that runs in a goroutine until stop is called.
type runningCommand struct {
	tomb    tomb.Tomb
	stop    context.CancelFunc
	address string
	status  int
}

func start(t *testing.T, arguments ...string) *runningCommand {
	ctx, cancel := context.WithCancel(context.Background())
	s := &runningCommand{
		stop: cancel,
	}
	reader, writer := io.Pipe()
	s.tomb.Go(func() error {
		s.status = Run(ctx, arguments, writer, io.Discard)
		return writer.Close()
	})
	t.Cleanup(func() { s.stopAndCheck(t) })
	line, err := bufio.NewReader(reader).ReadString('\n')
	require.NoError(t, err)
	address, found := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "listening ")
	require.True(t, found, line)
	s.address = address
	return s
}

func (s *runningCommand) stopAndCheck(t *testing.T) {
	s.stop()
	require.NoError(t, s.tomb.Wait())
	require.Equal(t, program.ExitOK, s.status)
}

func TestStandInsRegisterInHostList(t *testing.T) {
	list := start(t, "hostlist")
	client := hostlist.Client{
		Address: list.address,
	}
	defer client.Close()
	states := func() map[string]backend.State {
		servers, err := client.List(context.Background())
		require.NoError(t, err)
		states := make(map[string]backend.State)
		for _, server := range servers {
			states[string(server.Name)+" "+string(server.DataCentre)] = server.State
		}
		return states
	}
	engine := start(t, "engine", "-register", "http://"+list.address, "-name", "gpu-1",
		"-data-centre", "brest-a", "-region", "finistere", "-linger", "100ms")
	start(t, "plain", "-register", list.address, "-service", "desk", "-faults", `{"Refuse":true}`)
	require.Equal(t, map[string]backend.State{
		"gpu-1 brest-a": backend.StateLive,
		"plain ":        backend.StateLive,
	}, states())
	engine.stop()
	require.Eventually(t, func() bool { return states()["gpu-1 brest-a"] == backend.StateLeaving }, waitTimeout, pollInterval)
	engine.stopAndCheck(t)
	require.Equal(t, map[string]backend.State{
		"plain ": backend.StateLive,
	}, states())
	start(t, "weights")
}

func TestInvalidCommandLinesReportError(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	for _, c := range []struct {
		arguments string
		status    int
		says      string
	}{
		{"", program.ExitInvalidInput, "Usage: standin COMMAND"},
		{"boat", program.ExitInvalidInput, `found "boat", allowed one of those`},
		{"help boat", program.ExitInvalidInput, `found "boat", allowed one of those`},
		{"engine -boat", program.ExitInvalidInput, "-boat"},
		{"engine extra", program.ExitInvalidInput, `found ["extra"], allowed only flags`},
		{"engine -memory 3", program.ExitInvalidInput, "whole number"},
		{"engine -memory 99999999999GiB", program.ExitInvalidInput, "whole number"},
		{`plain -faults {"Dwon":true}`, program.ExitFailure, "Dwon"},
		{"weights -listen " + taken.Addr().String(), program.ExitFailure, "address already in use"},
	} {
		t.Run(c.arguments, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			status := Run(context.Background(), strings.Fields(c.arguments), &stdout, &stderr)
			require.Equal(t, c.status, status)
			require.Contains(t, stderr.String(), c.says)
			require.Empty(t, stdout.String())
		})
	}
}

func TestEveryCommandHasHelpPage(t *testing.T) {
	for _, name := range commands.Names() {
		var page bytes.Buffer
		require.Equal(t, program.ExitOK, Run(context.Background(), []string{"help", name}, &page, io.Discard))
		for _, part := range []string{"standin " + name + ": ", "/faults", "-listen"} {
			require.Contains(t, page.String(), part, name)
		}
	}
	var asked, faults bytes.Buffer
	require.Equal(t, program.ExitOK, Run(context.Background(), []string{"engine", "-h"}, &asked, &faults))
	require.Contains(t, asked.String(), "model engine")
	require.Empty(t, faults.String())
	var overview bytes.Buffer
	require.Equal(t, program.ExitOK, Run(context.Background(), []string{"help"}, &overview, io.Discard))
	require.Contains(t, overview.String(), "hostlist")
}

func TestParseBytes(t *testing.T) {
	parsed, err := parseBytes("80GiB")
	require.NoError(t, err)
	require.Equal(t, 80*unit.Gibibyte, parsed)
	parsed, err = parseBytes("7B")
	require.NoError(t, err)
	require.Equal(t, 7*unit.Byte, parsed)
}
