package httpanswer

import (
	"bytes"
	"strings"
)

// oldVersion begins the heads that are kept.
const oldVersion = "HTTP/1.0"

// Head is the head of an answer as it was received, if that is one of HTTP/1.0. The zero value is
// empty.
type Head struct {
	text       []byte
	isComplete bool
}

// Add adds received bytes. Those after the empty line that ends the head are dropped.
func (h *Head) Add(received []byte) {
	if h.isComplete {
		return
	}
	expected := oldVersion[min(len(h.text), len(oldVersion)):]
	if !strings.HasPrefix(expected, string(received[:min(len(received), len(expected))])) {
		h.text = nil
		h.isComplete = true
		return
	}
	searched := max(len(h.text)-len("\n\r"), 0)
	h.text = append(h.text, received...)
	for _, end := range []string{"\n\n", "\n\r\n"} {
		if at := bytes.Index(h.text[searched:], []byte(end)); at >= 0 {
			h.text = h.text[:searched+at]
			h.isComplete = true
		}
	}
}

// hasField reports whether a line of the head has a name.
func (h *Head) hasField(name string) bool {
	for line := range bytes.Lines(h.text) {
		found, _, hasColon := bytes.Cut(line, []byte{':'})
		if hasColon && strings.EqualFold(string(found), name) {
			return true
		}
	}
	return false
}
