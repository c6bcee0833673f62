package loadtool

import (
	"context"
	"flag"
	"fmt"

	"cicadaloom/internal/command/program"
	"cicadaloom/internal/config/teamdoc"
	"cicadaloom/internal/load/demand"
	"cicadaloom/internal/load/sizes"
)

const planHelp = `Prints an example of a load plan at the size of one of the users, for
"loadtool run -plan", or with -document the team document that goes with it.
`

func init() {
	commands.Register(program.Command{
		Name:    "plan",
		Summary: "print an example plan",
		Help:    planHelp,
		Prepare: preparePlan,
	})
}

func preparePlan(flags *flag.FlagSet) program.Runner {
	var users userFlags
	users.declare(flags)
	document := flags.Bool("document", false, "print the team document in place of the plan")
	scale := flags.Float64("scale", 1, "part of the user's size")
	return func(_ context.Context, to program.Streams, _ []string) error {
		size, err := users.size(to, *scale)
		if err != nil {
			return err
		}
		if !*document {
			fmt.Fprintf(to.Out, "%s", demand.Write(size.Plan()))
			return nil
		}
		text, err := teamdoc.Write(size.Document())
		if err != nil {
			return err
		}
		fmt.Fprintf(to.Out, "%s", text)
		return nil
	}
}

// userFlags select one of the users, whose sizes are in package sizes.
type userFlags struct {
	kerlouan bool
	nour     bool
}

func (u *userFlags) declare(flags *flag.FlagSet) {
	flags.BoolVar(&u.kerlouan, "kerlouan", false, "Kerlouan Ballon Récupération")
	flags.BoolVar(&u.nour, "nour", false, "the Nour Hair Foundation")
}

// maxScale bounds -scale against typing errors.
const maxScale = 100

func (u *userFlags) size(to program.Streams, scale float64) (sizes.Size, error) {
	if u.kerlouan == u.nour {
		return sizes.Size{}, program.InputErrorf("found neither or both of -kerlouan and -nour, allowed one of them")
	}
	if scale <= 0 || scale > maxScale {
		return sizes.Size{}, program.InputErrorf("-scale: found %g, allowed above 0 up to %d", scale, maxScale)
	}
	user := sizes.Kerlouan
	if u.nour {
		user = sizes.Nour
	}
	size, _ := sizes.ForUser(user, scale)
	return size, nil
}
