package demand

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// vocabulary has the words of messages, in the languages of the users.
var vocabulary = []string{
	"balloon", "drift", "wind", "descent", "payload", "skipper", "boat", "harbour", "landing", "crew",
	"briefing", "altitude", "north", "west", "recover", "field", "fitting", "scalp", "care", "letter",
	"appointment", "studio", "gentle", "wash", "شعر", "موعد", "عناية", "رسالة", "شكرا", "مساعدة",
}

// randomWords returns count random words of the vocabulary, separated by spaces.
func randomWords(random *rand.Rand, count int) string {
	var text strings.Builder
	for i := range count {
		if i > 0 {
			text.WriteByte(' ')
		}
		text.WriteString(vocabulary[random.IntN(len(vocabulary))])
	}
	return text.String()
}

// drawPrefix draws one of the shared prefixes of a model, or none. The text depends
// only on the number and the model, so requests share it.
func (a *Arrivals) drawPrefix(name string) string {
	p := &a.plan.Prefixes
	if p.Count == 0 || !a.drawPercent(p.Percent) {
		return ""
	}
	number := a.random.IntN(p.Count)
	text := rand.New(rand.NewPCG(uint64(number), pcgStream))
	return fmt.Sprintf("Instructions %d of %s: %s", number, name, randomWords(text, p.Words))
}
