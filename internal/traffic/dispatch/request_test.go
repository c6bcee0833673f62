package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func chatOf(messages string) *Chat {
	return &Chat{
		Request: Request{
			Body: []byte(`{"model":"briefing","messages":[` + messages + `]}`),
		},
	}
}

// A conversation's prompt is computed anew at each turn: the turns went to
// different replicas, since the text after the beginning chose, or since all
// conversations of a team share their instructions and one replica was full.
func TestTurnsOfAConversationShareAHome(t *testing.T) {
	const (
		system = `{"role":"system","content":"You brief crews."}`
		ask    = `,{"role":"user","content":"Where does it drift?"}`
		more   = `,{"role":"assistant","content":"East."},{"role":"user","content":"How far?"}`
		other  = `,{"role":"user","content":"When does it land?"}`
	)
	first := chatOf(system + ask).prefix()
	require.Equal(t, first, chatOf(system+ask+more).prefix())
	require.NotEqual(t, first, chatOf(system+other).prefix())
	spaced := chatOf(system + ask)
	spaced.Body = append([]byte(" "), spaced.Body...)
	require.Equal(t, first, spaced.prefix(), "the text counts, not how its JSON is written")
	require.NotPanics(t, func() { chatOf("").prefix() })
	require.NotPanics(t, func() { chatOf("7").prefix() })
}
