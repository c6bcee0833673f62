package decisions

import (
	"fmt"
	"strings"
	"time"
)

// FormatText formats decisions for display in a terminal, one paragraph each.
func FormatText(all []Decision) string {
	var text strings.Builder
	for i := range all {
		all[i].write(&text)
	}
	return text.String()
}

func (d *Decision) write(text *strings.Builder) {
	fmt.Fprintf(text, "%s  %s  at %s", d.At.UTC().Format(time.RFC3339Nano), d.Kind, d.Host)
	if d.Team != "" {
		fmt.Fprintf(text, ", team %s", d.Team)
	}
	text.WriteString("\n")
	switch d.Kind {
	case KindFailure:
		fmt.Fprintf(text, "  request %s to %s was given up: %s (%s)\n", d.Request, targetOrPlaceholder(d.Target), d.Code, d.Run)
	case KindLostAttempt:
		fmt.Fprintf(text, "  request %s to %s lost attempt %s at %s\n", d.Request, targetOrPlaceholder(d.Target), d.Attempt, d.Server)
	case KindMove:
		fmt.Fprintf(text, "  order %s: %s %s on %s; replicas: %d ready, %d wanted\n", d.Order, d.Code, d.Target, d.Server, d.ReadyReplicas, d.WantedReplicas)
	}
	fmt.Fprintf(text, "  reason: %s\n", d.Message)
	if d.Class != "" {
		fmt.Fprintf(text, "  class: %s\n", d.Class)
	}
	if !d.RetryAt.IsZero() {
		fmt.Fprintf(text, "  come back at: %s\n", d.RetryAt.UTC().Format(time.RFC3339Nano))
	}
}

func targetOrPlaceholder(target string) string {
	if target == "" {
		return "(no target)"
	}
	return target
}
