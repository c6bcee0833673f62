package cicadaloom

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"cicadaloom/internal/command/program"
	"cicadaloom/internal/config/gateway"
	"cicadaloom/internal/config/settings"
)

const referenceHelp = `Prints the reference of all settings as Markdown, made from the same tables that
read and check them. docs/SETTINGS.md is its output.
`

func init() {
	commands.Register(program.Command{
		Name:    "reference",
		Summary: "print the reference of all settings",
		Help:    referenceHelp,
		Prepare: func(*flag.FlagSet) program.Runner { return reference },
	})
}

func reference(_ context.Context, to program.Streams, _ []string) error {
	fmt.Fprint(to.Out, "# Settings of an entry host\n\nMade by `cicadaloom reference` from the tables that read and check the settings.\n\n")
	fmt.Fprint(to.Out, "| setting | kind | default | allowed | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, field := range settings.Reference() {
		writeRow(to.Out, "`"+field.Path+"`", field.Kind, field.Default, field.Allowed, field.Meaning)
	}
	fmt.Fprint(to.Out, "\n## Settings of `cicadaloom gateway`\n\n| setting | kind | default | allowed | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, field := range gateway.Reference() {
		writeRow(to.Out, "`"+field.Path+"`", field.Kind, field.Default, field.Allowed, field.Meaning)
	}
	return nil
}

func writeRow(out io.Writer, cells ...string) {
	for i, cell := range cells {
		cells[i] = strings.ReplaceAll(cell, "|", "\\|")
	}
	fmt.Fprintf(out, "| %s |\n", strings.Join(cells, " | "))
}
