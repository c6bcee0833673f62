package loop

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/control/documents"
	"cicadaloom/internal/domain/ident"
)

func storedDocument(t *testing.T, team string, revision, after ident.Revision) documents.PeerDocument {
	t.Helper()
	text := `{"Team":"` + team + `","DefaultClass":"all","Classes":[{"Name":"all","Share":10}],"Models":[],` +
		`"Services":[{"Name":"` + team + `-desk","ForbidRepeat":["POST"],"Promise":{"FirstToken":"1s"}}]}`
	value, err := json.Marshal(map[string]any{
		"Team":  team,
		"Edit":  "edit-" + team,
		"At":    time.Unix(0, 0).UTC(),
		"Text":  text,
		"After": after,
	})
	require.NoError(t, err)
	return documents.PeerDocument{
		Team:     ident.TeamName(team),
		Revision: revision,
		Value:    value,
	}
}

// A host starts while the key-value service is down and gets one team's newest
// document before the others'. If it were elected then, it would unload the models
// of every team whose document it lacks: the plan must get the documents only when
// the host has all of them.
func TestPlanWaitsForAllDocuments(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	loaded := settings.Default()
	loaded.Host.Name = "entry-1"
	l := New(Options{
		Settings: loaded,
		KeyValue: unavailableKeyValue{},
		Log:      zap.NewNop(),
		Metrics:  metrics.NewSet(),
	})
	defer func() { require.NoError(t, l.Stop()) }()
	c := l.newControl("127.0.0.1:1")
	c.receiveDocuments(now, documents.Message{
		Since:            5, // the sender left out what this host might have
		CompleteRevision: 9,
		Documents:        []documents.PeerDocument{storedDocument(t, "nour", 9, 4)},
	})
	require.EqualValues(t, 9, c.documents.Snapshot().Revision)
	require.Zero(t, c.plannedRevision)
	c.receiveDocuments(now, documents.Message{
		CompleteRevision: 9,
		Documents:        []documents.PeerDocument{storedDocument(t, "kerlouan", 4, 0), storedDocument(t, "nour", 9, 4)},
	})
	require.EqualValues(t, 9, c.plannedRevision)
}
