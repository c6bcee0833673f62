package teamdoc

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cicadaloom/internal/config/jsonfile"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const validDocument = `{
  "Team": "kerlouan",
  "Classes": [{"Name": "science", "Share": 50}, {"Name": "crews", "Share": 30}],
  "DefaultClass": "crews",
  "Models": [
    {"Name": "briefing", "Version": "3", "Memory": "20GiB", "Replicas": 2, "MaxReplicas": 4, "MayRepeat": true,
     "Promise": {"FirstToken": "1.6s", "BetweenTokens": "62ms"},
     "Adapters": [{"Name": "briefing-brest", "Version": "1", "Memory": "128MiB"}]},
    {"Name": "desk", "Version": "1", "Memory": "16GiB", "Replicas": 3, "MaxReplicas": 3, "MayRepeat": false,
     "Promise": {"FirstToken": "1s", "BetweenTokens": "50ms"}}],
  "Services": [{"Name": "boat-dispatch", "ForbidRepeat": ["POST"], "Promise": {"FirstToken": "2s"}}]
}`

func TestReadReturnsDocument(t *testing.T) {
	doc, err := Read([]byte(validDocument))
	require.NoError(t, err)
	model, found := doc.Model("briefing")
	require.True(t, found)
	require.Equal(t, 20*unit.Gibibyte, model.Memory)
	require.Equal(t, 1600*time.Millisecond, model.Promise.FirstToken)
	require.Equal(t, 128*unit.Mebibyte, model.Adapters[0].Memory)
	service, found := doc.Service("boat-dispatch")
	require.True(t, found)
	require.True(t, service.ForbidsRepeat("POST"))
	require.False(t, service.ForbidsRepeat("GET"))

	text, err := Write(doc)
	require.NoError(t, err)
	again, err := Read(text)
	require.NoError(t, err)
	require.Equal(t, doc, again)
}

func TestReadReportsFaultWithItsPath(t *testing.T) {
	cases := []struct {
		replace string
		by      string
		want    string
	}{
		{`"kerlouan"`, `"Kerlouan/x"`, `Team: found "Kerlouan/x"`},
		{`"briefing",`, `"a/b",`, `Models[0].Name: found "a/b"`},
		{`"briefing",`, `"briefing\n",`, `Models[0].Name: found "briefing\n"`},
		{`"briefing",`, `".briefing",`, `Models[0].Name: found ".briefing"`},
		{`"briefing",`, `"` + strings.Repeat("b", 65) + `",`, `(65 bytes), allowed a name of letters`},
		{`"desk"`, `"briefing-brest"`, `Models[1].Name: found "briefing-brest", allowed a name other than that of Models[0].Adapters[0].Name`},
		{`"boat-dispatch"`, `"desk"`, `Services[0].Name: found "desk", allowed a name other than that of Models[1].Name`},
		{`"Replicas": 2`, `"Replicas": 0`, `Models[0].Replicas: found 0, allowed a whole number from 1 to 1000`},
		{`"Replicas": 2`, `"Replicas": 1001`, `Models[0].Replicas: found 1001`},
		{`"Replicas": 2`, `"Replicas": 5`, `Models[0].MaxReplicas: found 4, allowed at least Replicas, 5`},
		{`"20GiB"`, `"0GiB"`, `Models[0].Memory: found "0GiB"`},
		{`"62ms"`, `"0s"`, `Models[0].Promise.BetweenTokens: found "0s"`},
		{`"2s"`, `"-2s"`, `Services[0].Promise.FirstToken: found "-2s"`},
		{`"Share": 30`, `"Share": 51`, `Classes: found shares of 101 in all, allowed at most 100`},
		{`"Name": "crews"`, `"Name": "science"`, `Classes[1].Name: found "science", allowed each class once`},
		{`"DefaultClass": "crews"`, `"DefaultClass": "all"`, `DefaultClass: found "all", allowed the name of one of Classes`},
		{`["POST"]`, `["post"]`, `Services[0].ForbidRepeat[0]: found "post", allowed "GET" or`},
		{`["POST"]`, `["POST", "POST"]`, `Services[0].ForbidRepeat[1]: found "POST", allowed each method once`},
		{`"MayRepeat": false,`, ``, `Models[1].MayRepeat: found nothing, allowed true or false`},
		{`"Promise": {"FirstToken": "2s"}`, `"Promise": {"FirstToken": "2s", "BetweenTokens": "1s"}`, `Services[0].Promise.BetweenTokens: found an unknown member`},
	}
	for _, c := range cases {
		require.Contains(t, validDocument, c.replace)
		_, err := Read([]byte(strings.Replace(validDocument, c.replace, c.by, 1)))
		var faults jsonfile.Faults
		require.True(t, errors.As(err, &faults), c.by)
		require.Contains(t, faults.Error(), c.want)
	}
	_, err := Read([]byte(`{"Team": "a", "Classes": [{"Name": "c", "Share": 1}], "DefaultClass": "c"}`))
	require.EqualError(t, err, "file: found no model and no service, allowed at least one model or service")
	_, err = Read([]byte(strings.Repeat(" ", MaxSizeBytes+1)))
	require.EqualError(t, err, "file: found 262145 bytes, allowed at most 262144 bytes")
}

func docsByTeam(list ...*document.Document) map[ident.TeamName]*document.Document {
	result := make(map[ident.TeamName]*document.Document)
	for _, doc := range list {
		result[doc.Team] = doc
	}
	return result
}

func newDocument(team ident.TeamName, models ...document.Model) *document.Document {
	return &document.Document{
		Team:   team,
		Models: models,
	}
}

func newModel(name ident.ModelName, memory unit.Bytes, replicas int) document.Model {
	return document.Model{
		Name:     name,
		Memory:   memory,
		Replicas: replicas,
	}
}

func newServers(memories ...unit.Bytes) []Server {
	var result []Server
	for i, memory := range memories {
		result = append(result, Server{
			Name:   ident.ServerName(fmt.Sprintf("gpu-%d", i)),
			Memory: memory,
		})
	}
	return result
}

// Two teams each declare a model "notes". Requests identify models by name alone,
// so half of the callers would get answers of the other team's model.
func TestCheckAllRefusesNameOfTwoTeams(t *testing.T) {
	a := newDocument("a", newModel("notes", 1, 1))
	b := newDocument("b", newModel("other", 1, 1), newModel("notes", 1, 1))
	faults := CheckAll(docsByTeam(a, b), newServers(100))
	require.EqualError(t, faults, `b.Models[1].Name: found "notes", allowed a name that no other team has (a has it at Models[0].Name)`)
}

// Each of two documents fits the servers alone, but not both together. If both were
// accepted, no placement could make all models resident, and callers of the missing
// model would get no answers.
func TestCheckAllRefusesReplicasThatDoNotFit(t *testing.T) {
	a := newDocument("a", newModel("big", 60, 2))
	b := newDocument("b", newModel("wide", 50, 2))
	require.Empty(t, CheckAll(docsByTeam(a), newServers(100, 100)))
	require.Empty(t, CheckAll(docsByTeam(b), newServers(100, 100)))
	faults := CheckAll(docsByTeam(a, b), newServers(100, 100))
	require.EqualError(t, faults, "b.Models[0]: found 2 more replicas of 50B each, adapters with them, "+
		"allowed what fits beside all other models (220B needed in all, 200B on 2 servers)")

	// One large server does not help: replicas need distinct servers.
	require.NotEmpty(t, CheckAll(docsByTeam(a), newServers(1000)))
	// Adapters are resident with each replica.
	a.Models[0].Adapters = []document.Adapter{{
		Memory: 41,
	}}
	require.NotEmpty(t, CheckAll(docsByTeam(a), newServers(100, 100)))
	// First fit would fill server 0 with both single replicas and leave no second
	// server for the pair.
	c := newDocument("c", newModel("x", 50, 1), newModel("y", 50, 1), newModel("z", 40, 2))
	require.Empty(t, CheckAll(docsByTeam(c), newServers(100, 100)))
	require.Empty(t, CheckAll(nil, nil))
}

// If the check reports no fault, a placement exists. An exhaustive search verifies
// this independently of pack.
func TestCheckAllAcceptsOnlyPlaceableModels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memories := rapid.SliceOfN(rapid.Int64Range(1, 100), 1, 6).Draw(t, "servers")
		var capacity []unit.Bytes
		var total unit.Bytes
		for _, memory := range memories {
			capacity = append(capacity, unit.Bytes(memory))
			total += unit.Bytes(memory)
		}
		var models []document.Model
		for i := range rapid.IntRange(1, 4).Draw(t, "models") {
			models = append(models, newModel(ident.ModelName(fmt.Sprintf("m%d", i)),
				unit.Bytes(rapid.Int64Range(1, 60).Draw(t, "memory")), rapid.IntRange(1, 3).Draw(t, "replicas")))
		}
		if len(CheckAll(docsByTeam(newDocument("a", models...)), newServers(capacity...))) > 0 {
			return
		}
		require.True(t, isPlaceable(models, capacity), "%v does not fit %v", models, capacity)
	})
}

// isPlaceable tries all placements.
func isPlaceable(models []document.Model, free []unit.Bytes) bool {
	if len(models) == 0 {
		return true
	}
	return canPlaceReplicas(models[0].Replicas, 0, models, free)
}

func canPlaceReplicas(left, from int, models []document.Model, free []unit.Bytes) bool {
	if left == 0 {
		return isPlaceable(models[1:], free)
	}
	for i := from; i < len(free); i++ {
		if free[i] < models[0].Memory {
			continue
		}
		free[i] -= models[0].Memory
		if canPlaceReplicas(left-1, i+1, models, free) {
			return true
		}
		free[i] += models[0].Memory
	}
	return false
}

func TestNeedsMoreMemory(t *testing.T) {
	before := newDocument("a", newModel("m", 10, 2))
	require.True(t, NeedsMoreMemory(nil, before))
	require.False(t, NeedsMoreMemory(before, nil))
	require.False(t, NeedsMoreMemory(before, newDocument("a", newModel("m", 9, 2))))
	require.True(t, NeedsMoreMemory(before, newDocument("a", newModel("m", 10, 3))))
	require.True(t, NeedsMoreMemory(before, newDocument("a", newModel("m", 11, 1))))
	require.True(t, NeedsMoreMemory(before, newDocument("a", newModel("n", 10, 2))))
}

func BenchmarkCheckAll(b *testing.B) {
	var models []document.Model
	for i := range 1400 {
		models = append(models, newModel(ident.ModelName(fmt.Sprintf("m%d", i)), unit.Bytes(20+i%60), 2+i%4))
	}
	var memories []unit.Bytes
	for range 850 {
		memories = append(memories, 640)
	}
	all := docsByTeam(newDocument("a", models...))
	capacity := newServers(memories...)
	for b.Loop() {
		if len(CheckAll(all, capacity)) > 0 {
			b.Fatal("does not fit")
		}
	}
}
