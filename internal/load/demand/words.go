package demand

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// vocabulary is what messages are made of, in the languages of the users.
var vocabulary = []string{
	"balloon", "drift", "wind", "descent", "payload", "skipper", "boat", "harbour", "landing", "crew",
	"briefing", "altitude", "north", "west", "recover", "field", "fitting", "scalp", "care", "letter",
	"appointment", "studio", "gentle", "wash", "شعر", "موعد", "عناية", "رسالة", "شكرا", "مساعدة",
}

// words joins so many random words.
func words(random *rand.Rand, count int) string {
	var text strings.Builder
	for i := range count {
		if i > 0 {
			text.WriteByte(' ')
		}
		text.WriteString(vocabulary[random.IntN(len(vocabulary))])
	}
	return text.String()
}

// prefix draws the beginning of a chat, which is the same text each time it is
// drawn.
func (a *Arrivals) prefix(name string) string {
	p := &a.plan.Prefixes
	if p.Count == 0 || !a.chance(p.Percent) {
		return ""
	}
	number := a.random.IntN(p.Count)
	text := rand.New(rand.NewPCG(uint64(number), pcgStream))
	return fmt.Sprintf("Instructions %d of %s: %s", number, name, words(text, p.Words))
}
