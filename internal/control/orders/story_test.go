package orders

import (
	"testing"

	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"

	"github.com/stretchr/testify/require"
)

func oneDocument(models ...document.Model) *document.Document {
	return &document.Document{
		Team:   "kerlouan",
		Models: models,
	}
}

func declare(name ident.ModelName, version ident.Version, memory unit.Bytes, replicas int) document.Model {
	return document.Model{
		Name:        name,
		Version:     version,
		Memory:      memory,
		Replicas:    replicas,
		MaxReplicas: replicas,
	}
}

// A fresh fleet: the first host that finds no leader loads every declared
// model on distinct servers, and the plan holds no doubt after that.
func TestDeclaredModelsBecomeReady(t *testing.T) {
	w := newWorld(3, oneDocument(
		declare("briefing", "1", 40, 2),
		declare("dispatch", "1", 10, 3),
	), newEngine(0, 60, true), newEngine(1, 60, false), newEngine(2, 60, true))
	w.calm(40)
	require.Len(t, w.readyAt("briefing", "1"), 2)
	require.Len(t, w.readyAt("dispatch", "1"), 3)
	leader := w.leader()
	require.NotNil(t, leader)
	state := leader.machine.State(w.now)
	require.Empty(t, state.Doubts)
	require.Empty(t, state.Blocked)
	require.Equal(t, 5, w.moves)
}
