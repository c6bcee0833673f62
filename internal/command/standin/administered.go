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

// administered are the flags of stand-ins that don't speak HTTP themselves:
// their switch has an address of its own.
type administered struct {
	common
	admin string
}

func (a *administered) declare(flags *flag.FlagSet) {
	a.common.declare(flags)
	flags.StringVar(&a.admin, "admin", defaultListen, "`address` of the fault switches")
}

// handledSwitch is a switch that HTTP reaches.
type handledSwitch interface {
	faultSwitch
	http.Handler
}

func (a *administered) serve(ctx context.Context, stdout io.Writer, p process, faults handledSwitch) error {
	address, err := a.start(p, faults)
	if err != nil {
		return err
	}
	admin, err := net.Listen("tcp", a.admin)
	if err != nil {
		_ = p.Stop() // the first failure is the one to tell
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
