package teamdoc_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/config/teamdoc"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"

	"github.com/stretchr/testify/require"
)

const examples = "../../../examples"

func TestExamplesAreAccepted(t *testing.T) {
	cases := []struct {
		team     ident.TeamName
		settings string
		models   int
		adapters int
		largest  ident.ModelName
		once     ident.ModelName
		service  ident.ServiceName
	}{
		{
			team:     "kerlouan",
			settings: "settings-brest-a.json",
			models:   15,
			adapters: 75,
			largest:  "drift-briefing",
			once:     "dispatch-desk",
			service:  "boat-dispatch",
		},
		{
			team:     "nour",
			settings: "settings-amman-abdali.json",
			models:   20,
			adapters: 75,
			largest:  "fitting-note",
			once:     "booking-assistant",
			service:  "wig-booking",
		},
	}
	all := make(map[ident.TeamName]*document.Document)
	for _, c := range cases {
		folder := filepath.Join(examples, string(c.team))
		loaded, err := settings.Load(filepath.Join(folder, c.settings))
		require.NoError(t, err)
		require.Equal(t, c.team, loaded.Operators.Teams[0].Team)

		text, err := os.ReadFile(filepath.Join(folder, "document.json"))
		require.NoError(t, err)
		doc, err := teamdoc.Read(text)
		require.NoError(t, err)
		require.Equal(t, c.team, doc.Team)
		require.Len(t, doc.Models, c.models)
		require.Equal(t, c.adapters, adapters(doc))
		requireModel(t, doc, c.largest, 12, true)
		requireModel(t, doc, c.once, 3, false)
		service, found := doc.Service(c.service)
		require.True(t, found)
		require.True(t, service.ForbidsRepeat("POST"))
		require.False(t, service.ForbidsRepeat("GET"))
		require.Empty(t, teamdoc.CheckAll(map[ident.TeamName]*document.Document{
			doc.Team: doc,
		}, fleet(14, 48*unit.Gibibyte)))
		all[doc.Team] = doc
	}
	require.Empty(t, teamdoc.CheckAll(all, fleet(16, 80*unit.Gibibyte)))
	require.NotEmpty(t, teamdoc.CheckAll(all, fleet(14, 48*unit.Gibibyte)))
}

func adapters(doc *document.Document) int {
	count := 0
	for i := range doc.Models {
		count += len(doc.Models[i].Adapters)
	}
	return count
}

func requireModel(t *testing.T, doc *document.Document, name ident.ModelName, replicas int, mayRepeat bool) {
	t.Helper()
	model, found := doc.Model(name)
	require.True(t, found)
	require.Equal(t, replicas, model.Replicas)
	require.Equal(t, mayRepeat, model.MayRepeat)
}

func fleet(count int, memory unit.Bytes) []teamdoc.Server {
	var result []teamdoc.Server
	for i := range count {
		result = append(result, teamdoc.Server{
			Name:   ident.ServerName(fmt.Sprintf("gpu-%02d", i)),
			Memory: memory,
		})
	}
	return result
}
