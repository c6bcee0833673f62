package testbed

import (
	"flag"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"cicadaloom/internal/command/cicadaloom"
	"cicadaloom/internal/command/standin"
)

var update = flag.Bool("update", false, "write golden files anew")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"cicadaloom": func() { os.Exit(cicadaloom.Main()) },
		"standin":    func() { os.Exit(standin.Main()) },
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		Setup:               Setup,
		Cmds:                Commands(),
		UpdateScripts:       *update,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
	})
}
