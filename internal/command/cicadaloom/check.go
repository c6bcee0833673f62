package cicadaloom

import (
	"context"
	"flag"
	"fmt"
	"os"

	"cicadaloom/internal/command/program"
	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/config/teamdoc"
)

const checkHelp = `Checks a file before it is used. All faults are told at once, each with the
path of the member, what was found there, and what is allowed.

  cicadaloom check -settings /etc/cicadaloom/settings.json
  cicadaloom check -document kerlouan.json

Exits with 0 where everything is in order and 2 where something is not. A
document that passes can still be refused by a running system: there it is
checked together with the documents of all other teams.
`

func init() {
	commands.Register(program.Command{
		Name:    "check",
		Summary: "check a settings file or a team's document",
		Help:    checkHelp,
		Prepare: prepareCheck,
	})
}

func prepareCheck(flags *flag.FlagSet) program.Runner {
	settingsFile := flags.String("settings", "", "the settings `file` of an entry host")
	documentFile := flags.String("document", "", "the `file` with a team's document")
	return func(_ context.Context, to program.Streams, _ []string) error {
		if (*settingsFile == "") == (*documentFile == "") {
			return program.InputErrorf("-settings and -document: found both or neither, allowed just one")
		}
		if *settingsFile != "" {
			return checkFile(to, *settingsFile, checkSettings)
		}
		return checkFile(to, *documentFile, checkDocument)
	}
}

func checkFile(to program.Streams, file string, check func(data []byte) error) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return program.InputErrorf("%v", err)
	}
	if err := check(data); err != nil {
		return program.InputErrorf("%s is not in order:\n%v", file, err)
	}
	fmt.Fprintf(to.Out, "%s is in order\n", file)
	return nil
}

func checkSettings(data []byte) error {
	_, err := settings.Read(data)
	return err
}

func checkDocument(data []byte) error {
	_, err := teamdoc.Read(data)
	return err
}
