package engineapi

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadaloom/internal/domain/backend"
)

func TestOrderRoundTrip(t *testing.T) {
	kinds := []backend.OrderKind{backend.LoadModel, backend.UnloadModel, backend.LoadAdapter, backend.UnloadAdapter}
	rapid.Check(t, func(t *rapid.T) {
		order := rapid.Make[backend.Order]().Draw(t, "order")
		order.ID += "ord"
		order.Model += "m"
		order.Memory = max(order.Memory, 0)
		order.Kind = rapid.SampledFrom(kinds).Draw(t, "kind")
		order.Adapter = ""
		if order.Kind == backend.LoadAdapter || order.Kind == backend.UnloadAdapter {
			order.Adapter = "a"
		}
		body, err := EncodeOrder(order)
		require.NoError(t, err)
		decoded, err := DecodeOrder(body)
		require.NoError(t, err)
		require.Equal(t, order, decoded)
	})
}

func TestReportRoundTrip(t *testing.T) {
	report := backend.Report{
		Server:      "gpu-1",
		Incarnation: "inc-1",
		ReportedAt:  time.Date(2026, 3, 4, 5, 6, 7, 8, time.UTC),
		Memory:      80,
		Residents: []backend.Resident{{
			Model:   "briefing",
			Adapter: "wind",
			Version: "3",
			Memory:  20,
			Ready:   true,
		}},
		Running:         1,
		Waiting:         2,
		Slots:           3,
		TokensPerSecond: 4.5,
		Leaving:         true,
		ChecksFencing:   true,
		Fencing:         6,
		Settled: []backend.SettledOrder{{
			ID:     "ord-1",
			Result: backend.OrderFailed,
		}},
	}
	body, err := EncodeReport(&report)
	require.NoError(t, err)
	decoded, err := DecodeReport(body)
	require.NoError(t, err)
	require.Equal(t, report, decoded)
}

func TestHostsAndCacheEventsRoundTrip(t *testing.T) {
	hosts := []backend.Server{{
		Name:       "p1",
		Kind:       backend.KindService,
		State:      backend.StateLeaving,
		Address:    "127.0.0.1:1",
		DataCentre: "brest-a",
		Region:     "finistere",
		Service:    "desk",
	}}
	body, err := EncodeHosts(hosts)
	require.NoError(t, err)
	decodedHosts, err := DecodeHosts(body)
	require.NoError(t, err)
	require.Equal(t, hosts, decodedHosts)

	events := CacheEvents{
		Incarnation: "inc-1",
		Events: []backend.CacheEvent{{
			Number: 7,
			Model:  "briefing",
			Prefix: 1<<64 - 1, // lost if decoded as a floating-point number
			Stored: true,
		}},
	}
	body, err = EncodeCacheEvents(events)
	require.NoError(t, err)
	decodedEvents, err := DecodeCacheEvents(body)
	require.NoError(t, err)
	require.Equal(t, events, decodedEvents)
}

// Messages that cannot be true are rejected as a whole: a faulty server, or another
// program at its address, must not influence placement or routing.
func TestInvalidFormsAreRejected(t *testing.T) {
	report := func(body []byte) error { _, err := DecodeReport(body); return err }
	order := func(body []byte) error { _, err := DecodeOrder(body); return err }
	hosts := func(body []byte) error { _, err := DecodeHosts(body); return err }
	events := func(body []byte) error { _, err := DecodeCacheEvents(body); return err }
	plain := func(body []byte) error { _, err := DecodePlainReport(body); return err }
	status := func(body []byte) error { _, err := DecodeWeightStatus(body); return err }
	load := func(body []byte) error { _, err := DecodeWeightLoad(body); return err }
	chunk := func(body []byte) error { _, err := ParseChunk(body); return err }
	chat := func(body []byte) error { _, err := ParseChat(body); return err }
	const host = `{"Name":"a","Kind":"Engine","State":"Live","Address":"x:1"}`
	for _, c := range []struct {
		name   string
		decode func([]byte) error
		body   string
		fault  string
	}{
		{"report not JSON", report, `{"Incarnation":`, "report"},
		{"report of no life", report, `{}`, "Incarnation"},
		{"memory below 0", report, `{"Incarnation":"i","Memory":-1}`, "Memory"},
		{"resident below 0", report, `{"Incarnation":"i","Residents":[{"Model":"m","Memory":-1}]}`, "Residents[0].Memory"},
		{"unknown result", report, `{"Incarnation":"i","Settled":[{"ID":"o","Result":"Maybe"}]}`, "Settled[0].Result"},
		{"unknown kind", order, `{"ID":"o","Model":"m","Kind":"Explode"}`, "Kind"},
		{"adapter order without adapter", order, `{"ID":"o","Model":"m","Kind":"LoadAdapter"}`, "Adapter"},
		{"negative order", order, `{"ID":"o","Model":"m","Kind":"LoadModel","Memory":-5}`, "Memory"},
		{"name twice", hosts, `{"Hosts":[` + host + `,` + host + `]}`, "twice"},
		{"unknown state", hosts, `{"Hosts":[{"Name":"a","Kind":"Engine","State":"Dead","Address":"x:1"}]}`, "State"},
		{"events out of order", events, `{"Events":[{"Number":2},{"Number":2}]}`, "number 2 after 2"},
		{"plain report below 0", plain, `{"Incarnation":"i","Running":-1}`, "below 0"},
		{"status below 0", status, `{"InTransit":-1}`, "below 0"},
		{"load of nothing", load, `{}`, "Model"},
		{"error for a chunk", chunk, `{"error":{"message":"out of memory"}}`, "out of memory"},
		{"another object", chunk, `{"object":"list"}`, "object"},
		{"no model", chat, `{"messages":[]}`, "model"},
		{"odd content", chat, `{"model":"m","messages":[{"content":7}]}`, "messages[0]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.ErrorContains(t, c.decode([]byte(c.body)), c.fault)
		})
	}
}

func TestChatContentStringOrParts(t *testing.T) {
	chat, err := ParseChat([]byte(`{"model":"briefing","stream":true,"max_completion_tokens":9,"seed":4,"messages":[
		{"role":"user","content":"first"},
		{"role":"user","content":[{"type":"text","text":"sec"},{"type":"text","text":"ond"}]},
		{"role":"assistant","content":null}]}`))
	require.NoError(t, err)
	require.Equal(t, "second", chat.LastUserText())
	require.Equal(t, 9, chat.MaxTokens)
	require.True(t, chat.Stream)
}

func TestPrefixHashesDependOnModelAndMessages(t *testing.T) {
	message := rapid.Custom(func(t *rapid.T) Message {
		return Message{
			Role: rapid.SampledFrom([]string{"user", "system"}).Draw(t, "role"),
			Text: rapid.String().Draw(t, "text"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		messages := rapid.SliceOfN(message, 2, 6).Draw(t, "messages")
		whole := Chat{
			Model:    "m",
			Messages: messages,
		}
		part := Chat{
			Model:    "m",
			Messages: messages[:len(messages)-1],
		}
		other := Chat{
			Model:    "n",
			Messages: messages,
		}
		require.Equal(t, part.PrefixHashes(), whole.PrefixHashes()[:len(messages)-1])
		require.NotEqual(t, whole.PrefixHashes()[0], other.PrefixHashes()[0])
	})
}

func TestNumberAndTimeHeaders(t *testing.T) {
	now := time.Date(2026, 3, 4, 5, 6, 7, 800, time.UTC)
	read, err := ParseDeadline(FormatDeadline(now))
	require.NoError(t, err)
	require.True(t, now.Equal(read))
	_, err = ParseDeadline("tomorrow")
	require.Error(t, err)
	_, err = ParseCount("-1")
	require.Error(t, err)
}

func TestAnswersFollowOpenAIFormat(t *testing.T) {
	answer := Answer{
		ID:      "chatcmpl-1",
		Created: time.Unix(5, 0),
		Model:   "briefing",
	}
	usage := Usage{
		Prompt:     2,
		Completion: 3,
	}
	whole, err := answer.EncodeWhole("text", usage)
	require.NoError(t, err)
	text, read, err := ParseWhole(whole)
	require.NoError(t, err)
	require.Equal(t, "text", text)
	require.Equal(t, usage, read)

	token, err := answer.EncodeToken("to", true)
	require.NoError(t, err)
	require.True(t, json.Valid(token))
	require.True(t, strings.Contains(string(token), `"finish_reason":null`), "clients recognize the last chunk by it")
	chunk, err := ParseChunk(token)
	require.NoError(t, err)
	require.Equal(t, "to", chunk.Text)
	finish, err := answer.EncodeFinish()
	require.NoError(t, err)
	chunk, err = ParseChunk(finish)
	require.NoError(t, err)
	require.True(t, chunk.Finished)
}
