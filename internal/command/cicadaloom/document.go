package cicadaloom

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"

	"github.com/pkg/errors"

	"cicadaloom/internal/command/program"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/operator"
)

const documentHelp = `Reads and edits the documents of teams, through any entry host.

  cicadaloom document list
  cicadaloom document get -team kerlouan > kerlouan.json
  cicadaloom document put -team kerlouan -revision 17 kerlouan.json
  cicadaloom document history -team kerlouan

get prints the document to standard output and its revision to standard error.
put edits just that revision: where somebody else was faster, it fails and shows
theirs, and nothing has changed. Revision 0 makes the document of a new team.
Where the answer of a put was lost, put it again with the -edit and -again that
the error names: it is carried out once.

Exits with 2 where the document or the arguments are not in order, with 1 where
the edit was not accepted for another reason.
`

func init() {
	commands.Register(program.Command{
		Name:             "document",
		Summary:          "get, put or list the documents of teams",
		Help:             documentHelp,
		AcceptsArguments: true,
		Prepare:          prepareDocument,
	})
}

// documentFlags are the flags of the document command.
type documentFlags struct {
	client   *client
	team     string
	revision int64
	editID   string
	isRetry  bool
}

func prepareDocument(flags *flag.FlagSet) program.Runner {
	f := documentFlags{
		client: declareClientFlags(flags),
	}
	flags.StringVar(&f.team, "team", "", "the `name` of the team")
	flags.Int64Var(&f.revision, "revision", -1, "the `revision` that a put starts from")
	flags.StringVar(&f.editID, "edit", "", "the `id` of the edit; one is made where none is given")
	flags.BoolVar(&f.isRetry, "again", false, "the edit of this id may have been put before")
	return func(_ context.Context, to program.Streams, args []string) error {
		if len(args) == 0 {
			return program.InputErrorf("arguments: found none, allowed list, get, put or history")
		}
		action := args[0]
		// Flags may also follow the action, so the rest is parsed again.
		if err := flags.Parse(args[1:]); err != nil {
			return program.InputErrorf("%v", err)
		}
		return f.run(to, action, flags.Args())
	}
}

func (f *documentFlags) run(to program.Streams, action string, args []string) error {
	if action != "list" && f.team == "" {
		return program.InputErrorf("-team: found none, allowed the name of a team")
	}
	path := "/admin/documents/" + url.PathEscape(f.team)
	switch action {
	case "list":
		return f.writeReply(to, "/admin/documents")
	case "get":
		return f.printDocument(to, path)
	case "history":
		return f.writeReply(to, path+"/history")
	case "put":
		return f.putDocument(to, path, args)
	default:
		return program.InputErrorf("arguments: found %q, allowed list, get, put or history", action)
	}
}

func (f *documentFlags) writeReply(to program.Streams, path string) error {
	got, err := f.client.get(path)
	if err != nil {
		return err
	}
	_, err = to.Out.Write(got.body)
	return err
}

func (f *documentFlags) printDocument(to program.Streams, path string) error {
	got, err := f.client.get(path)
	if err != nil {
		return err
	}
	fmt.Fprintf(to.Err, "revision %s\n", got.header.Get("Etag"))
	_, err = to.Out.Write(got.body)
	return err
}

func (f *documentFlags) putDocument(to program.Streams, path string, args []string) error {
	if len(args) != 1 || f.revision < 0 {
		return program.InputErrorf("found -revision %d and arguments %q, allowed the revision that the edit starts from and one file", f.revision, args)
	}
	text, err := os.ReadFile(args[0])
	if err != nil {
		return program.InputErrorf("%v", err)
	}
	if f.editID == "" {
		f.editID = string(ident.NewEditID())
	}
	header := http.Header{}
	header.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(f.revision)))
	header.Set(operator.HeaderEditID, f.editID)
	if f.isRetry {
		header.Set(operator.HeaderResubmitted, "true")
	}
	got, err := f.client.call(http.MethodPut, path, header, text)
	if err != nil {
		return unknownOutcome(err, f.editID)
	}
	if err := got.failure(); err != nil {
		return err
	}
	_, err = to.Out.Write(got.body)
	return err
}

// unknownOutcome adds to an error how to repeat an edit that may have been accepted.
func unknownOutcome(err error, editID string) error {
	return errors.WithMessagef(err, "the edit may have been accepted: put it again with -edit %s -again", editID)
}
