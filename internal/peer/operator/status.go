package operator

import (
	"net/http"
	"strconv"

	"github.com/uptrace/bunrouter"

	"cicadaloom/internal/control/burn"
	"cicadaloom/internal/control/loop"
	"cicadaloom/internal/control/orders"
	"cicadaloom/internal/report/burnpage"
)

func (s *Server) status(w http.ResponseWriter, request bunrouter.Request) error {
	status, err := s.Control.Status(request.Context())
	if err != nil {
		return unavailable(w, err)
	}
	wire := encodeStatus(&status)
	wire.Stopping = s.Host.Stopping()
	wire.InFlight = s.Host.InFlight()
	return writeJSON(w, http.StatusOK, wire)
}

func encodeStatus(status *loop.Status) wireStatus {
	inForce, live := status.CountInForce(status.Documents)
	wire := wireStatus{
		Host:      string(status.Host),
		Revision:  int64(status.Documents),
		InForce:   inForce,
		LiveHosts: live,
		Leader:    string(status.Plan.Leader),
		Fencing:   int64(status.Plan.Fencing),
		Hosts:     make([]wireHost, 0, len(status.Hosts)),
		Servers:   make([]wireServer, 0, len(status.Servers)),
		Moves:     make(map[string]int),
		Suspects:  status.Suspects,
	}
	for i := range status.Hosts {
		host := &status.Hosts[i]
		wire.Hosts = append(wire.Hosts, wireHost{
			Name:       string(host.Host),
			DataCentre: string(host.DataCentre),
			Region:     string(host.Region),
			Address:    host.Address,
			Live:       host.Live,
			Stopping:   host.Stopping,
			Revision:   int64(host.DocumentsRevision),
		})
	}
	for _, server := range status.Servers {
		wire.Servers = append(wire.Servers, wireServer{
			Name:     string(server.Name),
			Kind:     server.Kind,
			State:    server.State,
			Address:  server.Address,
			UnderWay: server.InFlight,
		})
	}
	wire.encodePlan(&status.Plan)
	return wire
}

func (w *wireStatus) encodePlan(plan *orders.State) {
	w.Models = make([]wireModel, 0, len(plan.Models))
	for _, model := range plan.Models {
		w.Models = append(w.Models, wireModel{
			Model:      string(model.Model),
			Version:    string(model.Version),
			Want:       model.Want,
			Ready:      model.Ready,
			ReadyOther: model.ReadyOther,
			Loading:    model.Loading,
		})
	}
	for _, doubt := range plan.Doubts {
		w.Doubts = append(w.Doubts, wireDoubt{
			Server:    string(doubt.Server),
			Order:     string(doubt.Order.ID),
			Kind:      string(doubt.Order.Kind),
			WrittenAt: doubt.WrittenAt,
			Tries:     doubt.Tries,
		})
	}
	for reason, count := range plan.Moves {
		w.Moves[string(reason)] = count
	}
	for _, blocked := range plan.Blocked {
		w.Blocked = append(w.Blocked, wireBlocked{
			Model:  string(blocked.Weights.Model),
			Reason: string(blocked.Blocker),
			Have:   blocked.PresentReplicas,
			Want:   blocked.WantedReplicas,
		})
	}
	for _, recent := range plan.Recent {
		w.Recent = append(w.Recent, wireMove{
			Order:  string(recent.Order),
			At:     recent.At,
			Kind:   string(recent.Move.Kind),
			Model:  string(recent.Move.Weights.Model),
			Server: string(recent.Move.Server),
			Reason: string(recent.Move.Reason),
			Have:   recent.Move.Have,
			Want:   recent.Move.Want,
		})
	}
}

// burn returns the report as JSON, or with ?format=text or html as text or HTML.
func (s *Server) burn(w http.ResponseWriter, request bunrouter.Request) error {
	report, err := s.Control.Burn(request.Context())
	if err != nil {
		return unavailable(w, err)
	}
	switch format := request.URL.Query().Get("format"); format {
	case "", "json":
		return writeJSON(w, http.StatusOK, encodeBurn(&report))
	case "text":
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, err := w.Write([]byte(burn.FormatText(report.Lines, report.Missing)))
		return err
	case "html":
		page, err := burnpage.Render(burnpage.Content{
			At:       report.At,
			Lines:    report.Lines,
			Timeline: report.Timeline,
			Missing:  report.Missing,
		})
		if err != nil {
			return unavailable(w, err)
		}
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		_, err = w.Write(page)
		return err
	default:
		return badInput(w, "format: found "+strconv.Quote(format)+", allowed json, text or html")
	}
}

func encodeBurn(report *loop.BurnReport) wireBurn {
	wire := wireBurn{
		At:        report.At.UTC(),
		Objective: burn.Objective,
		Hosts:     hostNames(report.Hosts),
		Missing:   hostNames(report.Missing),
		Lines:     make([]wireBurnLine, 0, len(report.Lines)),
	}
	for i := range report.Lines {
		line := &report.Lines[i]
		wire.Lines = append(wire.Lines, wireBurnLine{
			Window:     line.Window,
			Team:       string(line.Team),
			Class:      string(line.Class),
			Model:      string(line.Model),
			Requests:   line.Counts.Total(),
			InTime:     line.Counts[burn.InTime],
			Late:       line.Counts[burn.Late],
			Refused:    line.Counts[burn.Refused],
			Failed:     line.Counts[burn.Failed],
			Share:      line.InTimeShare(),
			BurnRate:   line.BurnRate(),
			BudgetLeft: line.BudgetLeft(),
			UsedUpBy:   line.MainCause(),
		})
	}
	return wire
}
