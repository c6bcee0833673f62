package cicadaloom

import (
	"flag"
	"fmt"
	"io"
	"strings"

	"cicadaloom/internal/config/settings"
)

const referenceHelp = `Prints the reference of all settings as Markdown, made from the same tables that
read and check them. docs/SETTINGS.md is its output.
`

func init() {
	register(command{
		name:    "reference",
		summary: "print the reference of all settings",
		help:    referenceHelp,
		prepare: func(*flag.FlagSet) runner { return reference },
	})
}

func reference(to streams, _ []string) error {
	fmt.Fprint(to.out, "# Settings of an entry host\n\nMade by `cicadaloom reference` from the tables that read and check the settings.\n\n")
	fmt.Fprint(to.out, "| setting | kind | default | allowed | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, field := range settings.Reference() {
		writeRow(to.out, "`"+field.Path+"`", field.Kind, field.Default, field.Allowed, field.Meaning)
	}
	return nil
}

func writeRow(out io.Writer, cells ...string) {
	for i, cell := range cells {
		cells[i] = strings.ReplaceAll(cell, "|", "\\|")
	}
	fmt.Fprintf(out, "| %s |\n", strings.Join(cells, " | "))
}
