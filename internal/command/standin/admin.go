package standin

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"
	tomb "gopkg.in/tomb.v2"
)

// adminFlags are the flags of stand-ins whose own protocol is not HTTP: their fault
// switches are served over HTTP at an address of their own.
type adminFlags struct {
	commonFlags
	admin string
}

func (a *adminFlags) declare(flags *flag.FlagSet) {
	a.commonFlags.declare(flags)
	flags.StringVar(&a.admin, "admin", defaultListen, "`address` of the fault switches")
}

// faultHandler is a set of fault switches with an HTTP handler.
type faultHandler interface {
	faultSwitches
	http.Handler
}

// serve runs a stand-in and the server of its fault switches until the context ends.
func (a *adminFlags) serve(ctx context.Context, stdout io.Writer, p standIn, faults faultHandler) error {
	address, err := a.start(p, faults)
	if err != nil {
		return err
	}
	admin, err := net.Listen("tcp", a.admin)
	if err != nil {
		_ = p.Stop() // the first error is the one to return
		return errors.Wrap(err, "-admin")
	}
	server := http.Server{
		Handler: faults,
	}
	var serving tomb.Tomb
	serving.Go(func() error {
		if err := server.Serve(admin); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "-admin")
		}
		return nil
	})
	fmt.Fprintf(stdout, "listening %s admin=%s\n", address, admin.Addr())
	<-ctx.Done()
	_ = server.Close()
	if err := serving.Wait(); err != nil {
		_ = p.Stop()
		return err
	}
	return p.Stop()
}
