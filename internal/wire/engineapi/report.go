package engineapi

import (
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

type wireReport struct {
	Server          string
	Incarnation     string
	At              time.Time
	Memory          int64
	Residents       []wireResident
	Running         int
	Waiting         int
	Slots           int
	TokensPerSecond float64
	Leaving         bool
	ChecksFencing   bool
	Fencing         int64
	Settled         []wireSettled
}

type wireResident struct {
	Model   string
	Adapter string
	Version string
	Memory  int64
	Ready   bool
}

type wireSettled struct {
	ID     string
	Result string
}

// EncodeReport encodes the answer to PathReport.
func EncodeReport(report *backend.Report) ([]byte, error) {
	wire := wireReport{
		Server:          string(report.Server),
		Incarnation:     string(report.Incarnation),
		At:              report.ReportedAt.UTC(),
		Memory:          int64(report.Memory),
		Residents:       make([]wireResident, 0, len(report.Residents)),
		Running:         report.Running,
		Waiting:         report.Waiting,
		Slots:           report.Slots,
		TokensPerSecond: report.TokensPerSecond,
		Leaving:         report.Leaving,
		ChecksFencing:   report.ChecksFencing,
		Fencing:         int64(report.Fencing),
		Settled:         make([]wireSettled, 0, len(report.Settled)),
	}
	for _, resident := range report.Residents {
		wire.Residents = append(wire.Residents, wireResident{
			Model:   string(resident.Model),
			Adapter: string(resident.Adapter),
			Version: string(resident.Version),
			Memory:  int64(resident.Memory),
			Ready:   resident.Ready,
		})
	}
	for _, settled := range report.Settled {
		wire.Settled = append(wire.Settled, wireSettled{
			ID:     string(settled.ID),
			Result: string(settled.Result),
		})
	}
	return encode(wire, "report")
}

// DecodeReport decodes a report. It fails if the report cannot be true: amounts below
// 0, no incarnation, a resident without a model, or an unknown order result.
func DecodeReport(body []byte) (backend.Report, error) {
	wire, err := decode[wireReport](body, "report")
	if err != nil {
		return backend.Report{}, err
	}
	if err := wire.validate(); err != nil {
		return backend.Report{}, errors.Wrap(err, "report")
	}
	report := backend.Report{
		Server:          ident.ServerName(wire.Server),
		Incarnation:     ident.Incarnation(wire.Incarnation),
		ReportedAt:      wire.At,
		Memory:          unit.Bytes(wire.Memory),
		Running:         wire.Running,
		Waiting:         wire.Waiting,
		Slots:           wire.Slots,
		TokensPerSecond: wire.TokensPerSecond,
		Leaving:         wire.Leaving,
		ChecksFencing:   wire.ChecksFencing,
		Fencing:         ident.FencingNumber(wire.Fencing),
	}
	for _, resident := range wire.Residents {
		report.Residents = append(report.Residents, backend.Resident{
			Model:   ident.ModelName(resident.Model),
			Adapter: ident.AdapterName(resident.Adapter),
			Version: ident.Version(resident.Version),
			Memory:  unit.Bytes(resident.Memory),
			Ready:   resident.Ready,
		})
	}
	for _, settled := range wire.Settled {
		report.Settled = append(report.Settled, backend.SettledOrder{
			ID:     ident.OrderID(settled.ID),
			Result: backend.OrderResult(settled.Result),
		})
	}
	return report, nil
}

func (w *wireReport) validate() error {
	if w.Incarnation == "" {
		return errors.New("Incarnation: found none")
	}
	if w.Memory < 0 || w.Running < 0 || w.Waiting < 0 || w.Slots < 0 {
		return errors.New("Memory, Running, Waiting, Slots: found one below 0")
	}
	for i := range w.Residents {
		if w.Residents[i].Memory < 0 {
			return errors.Errorf("Residents[%d].Memory: found %d, allowed at least 0", i, w.Residents[i].Memory)
		}
		if w.Residents[i].Model == "" {
			return errors.Errorf("Residents[%d].Model: found none", i)
		}
	}
	for i := range w.Settled {
		switch backend.OrderResult(w.Settled[i].Result) {
		case backend.OrderDone, backend.OrderFailed, backend.OrderRefused:
		default:
			return errors.Errorf("Settled[%d].Result: found %q", i, w.Settled[i].Result)
		}
	}
	return nil
}

// PlainReport is a plain service's report on its load.
type PlainReport struct {
	Incarnation ident.Incarnation
	Running     int
	Waiting     int
	Slots       int
	Leaving     bool
}

type wirePlainReport struct {
	Incarnation string
	Running     int
	Waiting     int
	Slots       int
	Leaving     bool
}

// EncodePlainReport encodes a plain service's answer to PathReport.
func EncodePlainReport(report PlainReport) ([]byte, error) {
	return encode(wirePlainReport{
		Incarnation: string(report.Incarnation),
		Running:     report.Running,
		Waiting:     report.Waiting,
		Slots:       report.Slots,
		Leaving:     report.Leaving,
	}, "plain report")
}

// DecodePlainReport decodes a plain service's report.
func DecodePlainReport(body []byte) (PlainReport, error) {
	wire, err := decode[wirePlainReport](body, "plain report")
	if err != nil {
		return PlainReport{}, err
	}
	if wire.Incarnation == "" || wire.Running < 0 || wire.Waiting < 0 || wire.Slots < 0 {
		return PlainReport{}, errors.New("plain report: found no Incarnation or a count below 0")
	}
	return PlainReport{
		Incarnation: ident.Incarnation(wire.Incarnation),
		Running:     wire.Running,
		Waiting:     wire.Waiting,
		Slots:       wire.Slots,
		Leaving:     wire.Leaving,
	}, nil
}
