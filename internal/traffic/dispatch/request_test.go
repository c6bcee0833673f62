package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func newChat(messages string) *ChatRequest {
	return &ChatRequest{
		Request: Request{
			Body: []byte(`{"model":"briefing","messages":[` + messages + `]}`),
		},
	}
}

// The turns of a conversation must go to the same replica, which has its prompt
// cached. They would not if later messages changed the prefix. If the
// instructions alone chose the replica, all conversations of a team would go to
// one.
func TestConversationTurnsSharePromptPrefix(t *testing.T) {
	const (
		system = `{"role":"system","content":"You brief crews."}`
		ask    = `,{"role":"user","content":"Where does it drift?"}`
		more   = `,{"role":"assistant","content":"East."},{"role":"user","content":"How far?"}`
		other  = `,{"role":"user","content":"When does it land?"}`
	)
	first := newChat(system + ask).promptPrefix()
	require.Equal(t, first, newChat(system+ask+more).promptPrefix())
	require.NotEqual(t, first, newChat(system+other).promptPrefix())
	spaced := newChat(system + ask)
	spaced.Body = append([]byte(" "), spaced.Body...)
	require.Equal(t, first, spaced.promptPrefix(), "the text counts, not how its JSON is written")
	require.NotPanics(t, func() { newChat("").promptPrefix() })
	require.NotPanics(t, func() { newChat("7").promptPrefix() })
}
