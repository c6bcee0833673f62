package etcd

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/uptrace/bunrouter"
)

// maxAdminBodyBytes bounds the body of a POST to the admin handler.
const maxAdminBodyBytes = 64 << 10

// faultsWire is the JSON form of Faults. Durations are strings such as "250ms".
type faultsWire struct {
	Down          bool
	Slow          string
	MaxDelay      string
	LoseAnswers   int
	LapseLeases   bool
	SilentWatches bool
}

// AdminHandler returns the admin handler: POST /faults replaces all faults with
// the JSON in its body, GET /faults returns the active faults, GET /stats returns
// Stats.
func (s *Server) AdminHandler() http.Handler {
	router := bunrouter.New()
	router.GET("/faults", func(w http.ResponseWriter, _ bunrouter.Request) error {
		return bunrouter.JSON(w, encodeFaults(s.Faults()))
	})
	router.POST("/faults", func(w http.ResponseWriter, request bunrouter.Request) error {
		faults, err := decodeFaults(http.MaxBytesReader(w, request.Body, maxAdminBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return nil
		}
		s.SetFaults(faults)
		return bunrouter.JSON(w, encodeFaults(s.Faults()))
	})
	router.GET("/stats", func(w http.ResponseWriter, _ bunrouter.Request) error {
		return bunrouter.JSON(w, s.Stats())
	})
	return router
}

func encodeFaults(faults Faults) faultsWire {
	return faultsWire{
		Down:          faults.Down,
		Slow:          faults.Slow.String(),
		MaxDelay:      faults.MaxDelay.String(),
		LoseAnswers:   faults.LoseAnswers,
		LapseLeases:   faults.LapseLeases,
		SilentWatches: faults.SilentWatches,
	}
}

func decodeFaults(body io.Reader) (Faults, error) {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	var wire faultsWire
	if err := decoder.Decode(&wire); err != nil {
		return Faults{}, errors.Wrap(err, "faults")
	}
	slow, err := decodeDuration("Slow", wire.Slow)
	if err != nil {
		return Faults{}, err
	}
	maxDelay, err := decodeDuration("MaxDelay", wire.MaxDelay)
	if err != nil {
		return Faults{}, err
	}
	return Faults{
		Down:          wire.Down,
		Slow:          slow,
		MaxDelay:      maxDelay,
		LoseAnswers:   wire.LoseAnswers,
		LapseLeases:   wire.LapseLeases,
		SilentWatches: wire.SilentWatches,
	}, nil
}

func decodeDuration(field, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.Wrapf(err, "faults: %s", field)
	}
	if duration < 0 {
		return 0, errors.Errorf("faults: %s: %s is negative", field, text)
	}
	return duration, nil
}
