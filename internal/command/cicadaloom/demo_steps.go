package cicadaloom

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/config/teamdoc"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/caller"
)

// step is one part of the demo, run in order.
type step struct {
	title string
	run   func() error
}

func (s *demoRun) steps() []step {
	return []step{
		{
			title: "the platform's stand-ins start",
			run:   s.startPlatform,
		},
		{
			title: "two entry hosts start",
			run:   s.startHosts,
		},
		{
			title: "the team's document is accepted, and its models are loaded",
			run:   s.declareAndWait,
		},
		{
			title: "a caller asks for a drift briefing, whole and streamed",
			run:   s.requestBriefings,
		},
		{
			title: "a boat is dispatched; the caller repeats it through the other host",
			run:   s.dispatchBoat,
		},
		{
			title: "a request for a model that nobody declares is refused",
			run:   s.showRefusal,
		},
		{
			title: "an edit comes into force on both hosts",
			run:   s.showEdit,
		},
		{
			title: "the report on service-level burn",
			run:   s.showReport,
		},
	}
}

// pollInterval is the time between two checks of a condition.
const pollInterval = 50 * time.Millisecond

// request sends a request, with headers as pairs of name and value, and returns the
// response.
func (s *demoRun) request(method, url, body string, headers ...string) (reply, error) {
	request, err := http.NewRequestWithContext(s.ctx, method, url, strings.NewReader(body))
	if err != nil {
		return reply{}, errors.Wrap(err, "request")
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, errors.Wrap(err, "request")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode,
		header: response.Header,
		body:   data,
	}, errors.Wrap(err, "answer")
}

func (s *demoRun) operatorURL(host int, path string) string {
	return "http://" + s.hosts[host].OperatorsAddress + path
}

func (s *demoRun) callerURL(host int, path string) string {
	return "http://" + s.hosts[host].CallersAddress + path
}

// until polls a condition until it is true, returns an error, or the demo's deadline
// passes.
func (s *demoRun) until(condition func() (bool, error)) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		done, err := condition()
		if err != nil || done {
			return err
		}
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return errors.Wrap(s.ctx.Err(), "wait")
		}
	}
}

// put puts the document with the revision in force as its base, and waits until all
// hosts have it in force.
func (s *demoRun) put() error {
	text, err := teamdoc.Write(s.document)
	if err != nil {
		return err
	}
	url := s.operatorURL(0, "/admin/documents/"+demoTeam)
	started := time.Now()
	var accepted reply
	err = s.until(func() (bool, error) {
		current, err := s.request(http.MethodGet, url, "", "Authorization", "Bearer "+demoToken)
		if err != nil {
			return false, err
		}
		revision := current.header.Get("Etag")
		if revision == "" {
			revision = `"0"`
		}
		accepted, err = s.request(http.MethodPut, url, string(text), "Authorization", "Bearer "+demoToken, "If-Match", revision)
		// A document is refused until the engines have reported their memory, which
		// it is checked against.
		return accepted.status == http.StatusOK, err
	})
	if err != nil {
		return errors.Wrapf(err, "the edit was answered %s", accepted.body)
	}
	var answer struct{ Revision int64 }
	if err := json.Unmarshal(accepted.body, &answer); err != nil {
		return errors.Wrap(err, "the edit's answer")
	}
	status, err := s.waitInForce(answer.Revision)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.to.Out, "accepted as revision %d, in force on %d of %d hosts after %s\n",
		answer.Revision, status.InForce, status.LiveHosts, time.Since(started).Round(time.Millisecond))
	return nil
}

// demoStatus is the part of /admin/status that the demo reads.
type demoStatus struct {
	Revision  int64
	InForce   int
	LiveHosts int
	Models    []struct {
		Model   string
		Version string
		Ready   int
	}
	Moves map[string]int
}

func (s *demoRun) status(host int) (demoStatus, error) {
	var status demoStatus
	got, err := s.request(http.MethodGet, s.operatorURL(host, "/admin/status"), "", "Authorization", "Bearer "+demoToken)
	if err != nil {
		return status, err
	}
	return status, errors.Wrap(json.Unmarshal(got.body, &status), "status")
}

func (s *demoRun) waitInForce(revision int64) (demoStatus, error) {
	var status demoStatus
	err := s.until(func() (bool, error) {
		got, err := s.status(0)
		status = got
		return got.Revision >= revision && got.LiveHosts == demoHosts && got.InForce == got.LiveHosts, err
	})
	return status, err
}

func (s *demoRun) declareAndWait() error {
	if err := s.declare(); err != nil {
		return err
	}
	return s.waitReady()
}

// waitReady waits until every model of the document has a ready replica of its version.
func (s *demoRun) waitReady() error {
	started := time.Now()
	err := s.until(func() (bool, error) {
		status, err := s.status(0)
		if err != nil || len(status.Models) != len(s.document.Models) {
			return false, err
		}
		for _, model := range status.Models {
			if model.Ready == 0 {
				return false, nil
			}
		}
		return true, nil
	})
	fmt.Fprintf(s.to.Out, "%d models ready after %s\n", len(s.document.Models), time.Since(started).Round(time.Millisecond))
	return err
}

func chatBody(model string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":6,"messages":[{"role":"user","content":"Drift over Crozon at 18:00?"}]}`, model, stream)
}

func (s *demoRun) requestBriefings() error {
	for i, stream := range []bool{false, true} {
		model := string(s.document.Models[0].Name)
		started := time.Now()
		got, err := s.request(http.MethodPost, s.callerURL(i, caller.PathChat), chatBody(model, stream))
		if err != nil {
			return err
		}
		if got.status != http.StatusOK {
			return errors.Errorf("found %d, expected an answer: %s", got.status, got.body)
		}
		fmt.Fprintf(s.to.Out, "entry-%d, stream %t, %s:\n%s\n", i+1, stream, time.Since(started).Round(time.Millisecond), indent(got.body))
	}
	return nil
}

func indent(text []byte) string {
	return "  " + strings.ReplaceAll(strings.TrimSpace(string(text)), "\n", "\n  ")
}

func (s *demoRun) dispatchBoat() error {
	key := string(ident.NewRequestID())
	for i := range demoHosts {
		got, err := s.request(http.MethodPost, s.callerURL(i, "/services/boat-dispatch/boats/7"), `{"to":"Ouessant"}`, caller.HeaderIdempotencyKey, key)
		if err != nil {
			return err
		}
		replayed := got.header.Get(caller.HeaderReplayed) == "true"
		fmt.Fprintf(s.to.Out, "entry-%d: %d, the answer of an earlier run: %t\n%s\n", i+1, got.status, replayed, indent(got.body))
	}
	for name, service := range s.platform.PlainServices {
		fmt.Fprintf(s.to.Out, "%s ran %d request(s)\n", name, len(service.Stats().Runs))
	}
	return nil
}

func (s *demoRun) showRefusal() error {
	got, err := s.request(http.MethodPost, s.callerURL(0, caller.PathChat), chatBody("no-such-model", false))
	if err != nil {
		return err
	}
	fmt.Fprintf(s.to.Out, "%d, %s: %s\n%s\n", got.status, caller.HeaderRun, got.header.Get(caller.HeaderRun), indent(got.body))
	return nil
}

func (s *demoRun) showEdit() error {
	model := &s.document.Models[0]
	model.Version += "-next"
	fmt.Fprintf(s.to.Out, "model %s goes to version %s\n", model.Name, model.Version)
	if err := s.put(); err != nil {
		return err
	}
	return s.until(func() (bool, error) {
		got, err := s.request(http.MethodPost, s.callerURL(1, caller.PathChat), chatBody(string(model.Name), false))
		if err != nil || got.status != http.StatusOK {
			return false, err
		}
		answered := strings.Contains(string(got.body), string(model.Version))
		if answered {
			fmt.Fprintf(s.to.Out, "entry-2 answers with it:\n%s\n", indent(got.body))
		}
		return answered, nil
	})
}

func (s *demoRun) showReport() error {
	got, err := s.request(http.MethodGet, s.operatorURL(0, "/admin/burn?format=text"), "", "Authorization", "Bearer "+demoToken)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.to.Out, "%s", got.body)
	return nil
}
