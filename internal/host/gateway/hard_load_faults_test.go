package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/standin/server"
)

// crash ends a process as if it were killed: its connections are cut.
func (s *hardSoak) crash(process *hardProcess) {
	process.isKilled.Store(true)
	s.unlist(process)
	delete(s.hosts, process.name)
	now, cancel := context.WithCancel(context.Background())
	cancel()
	_ = process.gateway.callerServer.Stop(now) // an error means that it had requests
	process.gateway.tomb.Kill(nil)
	process.gateway.close(now)
	require.NoError(s.t, process.gateway.tomb.Wait())
	s.recordEnd(process)
}

// script returns the disturbances in the seed's order. Each goes on while the next ones begin.
func (s *hardSoak) script() []func() {
	all := []func(){
		func() { s.stopPlanned(s.pickLeader()) },
		func() { s.stopPlanned(s.pickRunning()) },
		func() { s.kill(s.pickLeader()) },
		func() { s.kill(s.pickRunning()) },
		s.loseStore,
		s.loseStoreOfOne,
		s.changeConfiguration,
		func() { s.crashServers(s.near[:2+s.random.IntN(2)]) },
		func() { s.crashServers(s.models[:1]) },
		func() { s.crashServers(s.models[1:2]) },
		func() { s.answerWithoutEnd(endlessHead) },
		func() { s.answerWithoutEnd(endlessBody) },
	}
	s.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// pickLeader returns the leader, or any host if there is none, and nil if all are stopping.
func (s *hardSoak) pickLeader() *hardProcess {
	for _, name := range s.leaders() {
		return s.processOf(name)
	}
	return s.pickRunning()
}

func (s *hardSoak) pickRunning() *hardProcess {
	names := slices.Sorted(maps.Keys(s.hosts))
	if len(names) == 0 {
		return nil
	}
	return s.processOf(names[s.random.IntN(len(names))])
}

func (s *hardSoak) processOf(name string) *hardProcess {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[name]
}

// stopPlanned stops a host as planned. The platform goes on sending it clients for unlistTime.
func (s *hardSoak) stopPlanned(process *hardProcess) {
	if process == nil {
		return
	}
	delete(s.hosts, process.name)
	var stop tomb.Tomb
	stop.Go(func() error { return process.gateway.Stop(context.Background()) })
	s.faults.Go(func() error {
		time.Sleep(unlistTime)
		s.unlist(process)
		if err := stop.Wait(); err != nil {
			s.tally.addWrong(process.name + ": " + err.Error())
		}
		s.recordEnd(process)
		s.ended <- process.name
		return nil
	})
}

func (s *hardSoak) kill(process *hardProcess) {
	if process == nil {
		return
	}
	s.crash(process)
	s.during(800*time.Millisecond, func() { s.ended <- process.name })
}

// during calls end after a random time, or when all disturbances are to end.
func (s *hardSoak) during(most time.Duration, end func()) {
	length := time.Duration(s.random.Int64N(int64(most)))
	s.faults.Go(func() error {
		server.Pause(s.faults.Context(context.Background()), length)
		end()
		return nil
	})
}

func (s *hardSoak) loseStore() {
	s.mu.Lock()
	s.outageFrom = time.Now()
	s.mu.Unlock()
	s.keyValue.setUnavailable("", true)
	s.during(2*time.Second, func() {
		s.keyValue.setUnavailable("", false)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.outageUntil = time.Now()
	})
}

func (s *hardSoak) loseStoreOfOne() {
	name := s.names[s.random.IntN(len(s.names))]
	s.keyValue.setUnavailable(name, true)
	s.during(2*time.Second, func() { s.keyValue.setUnavailable(name, false) })
}

func (s *hardSoak) changeConfiguration() {
	s.mu.Lock()
	s.writtenAt = time.Now()
	s.mu.Unlock()
	s.keyValue.write("configuration", hardConfiguration(hardNewVersion, "new"))
}

// crashServers makes servers come back as new incarnations.
func (s *hardSoak) crashServers(servers []*pacedServer) {
	for _, crashed := range servers {
		crashed.Crash(time.Duration(300+s.random.IntN(1200))*time.Millisecond, crashed.announce)
	}
}

func (s *hardSoak) answerWithoutEnd(e ending) {
	all := slices.Concat(s.near, s.far, s.models)
	chosen := all[s.random.IntN(len(all))]
	chosen.setEnding(e)
	s.during(1500*time.Millisecond, func() { chosen.setEnding(whole) })
}
