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

// step is one part of the demo.
type step struct {
	title string
	run   func() error
}

func (s *show) steps() []step {
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
			run:   s.askBriefing,
		},
		{
			title: "a boat is dispatched; the caller repeats it through the other host",
			run:   s.dispatchBoat,
		},
		{
			title: "a request for a model that nobody declares is refused",
			run:   s.refuse,
		},
		{
			title: "an edit comes into force on both hosts",
			run:   s.edit,
		},
		{
			title: "the report on service-level burn",
			run:   s.report,
		},
	}
}

const lookEvery = 50 * time.Millisecond

// request makes a request and gives its answer.
func (s *show) request(method, url, body string, headers ...string) (reply, error) {
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

func (s *show) operators(host int, path string) string {
	return "http://" + s.hosts[host].OperatorsAddress + path
}

func (s *show) callers(host int, path string) string {
	return "http://" + s.hosts[host].CallersAddress + path
}

// until repeats a look until it is satisfied.
func (s *show) until(satisfied func() (bool, error)) error {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		done, err := satisfied()
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

// put puts the document as the next edit of what is in force, and waits until
// both hosts have it.
func (s *show) put() error {
	text, err := teamdoc.Write(s.document)
	if err != nil {
		return err
	}
	url := s.operators(0, "/admin/documents/"+demoTeam)
	begun := time.Now()
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
		// Until the engines have told their memory, nothing can be checked.
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
		answer.Revision, status.InForce, status.LiveHosts, time.Since(begun).Round(time.Millisecond))
	return nil
}

// demoStatus is the part of the status that the demo looks at.
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

func (s *show) status(host int) (demoStatus, error) {
	var status demoStatus
	got, err := s.request(http.MethodGet, s.operators(host, "/admin/status"), "", "Authorization", "Bearer "+demoToken)
	if err != nil {
		return status, err
	}
	return status, errors.Wrap(json.Unmarshal(got.body, &status), "status")
}

func (s *show) waitInForce(revision int64) (demoStatus, error) {
	var status demoStatus
	err := s.until(func() (bool, error) {
		got, err := s.status(0)
		status = got
		return got.Revision >= revision && got.LiveHosts == demoHosts && got.InForce == got.LiveHosts, err
	})
	return status, err
}

func (s *show) declareAndWait() error {
	if err := s.declare(); err != nil {
		return err
	}
	return s.waitReady()
}

// waitReady waits until every model of the document is ready in its version.
func (s *show) waitReady() error {
	begun := time.Now()
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
	fmt.Fprintf(s.to.Out, "%d models ready after %s\n", len(s.document.Models), time.Since(begun).Round(time.Millisecond))
	return err
}

func chatBody(model string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":6,"messages":[{"role":"user","content":"Drift over Crozon at 18:00?"}]}`, model, stream)
}

func (s *show) askBriefing() error {
	for i, stream := range []bool{false, true} {
		model := string(s.document.Models[0].Name)
		begun := time.Now()
		got, err := s.request(http.MethodPost, s.callers(i, caller.PathChat), chatBody(model, stream))
		if err != nil {
			return err
		}
		if got.status != http.StatusOK {
			return errors.Errorf("found %d, expected an answer: %s", got.status, got.body)
		}
		fmt.Fprintf(s.to.Out, "entry-%d, stream %t, %s:\n%s\n", i+1, stream, time.Since(begun).Round(time.Millisecond), indent(got.body))
	}
	return nil
}

func indent(text []byte) string {
	return "  " + strings.ReplaceAll(strings.TrimSpace(string(text)), "\n", "\n  ")
}

func (s *show) dispatchBoat() error {
	key := string(ident.NewRequestID())
	for i := range demoHosts {
		got, err := s.request(http.MethodPost, s.callers(i, "/services/boat-dispatch/boats/7"), `{"to":"Ouessant"}`, caller.HeaderIdempotencyKey, key)
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

func (s *show) refuse() error {
	got, err := s.request(http.MethodPost, s.callers(0, caller.PathChat), chatBody("no-such-model", false))
	if err != nil {
		return err
	}
	fmt.Fprintf(s.to.Out, "%d, %s: %s\n%s\n", got.status, caller.HeaderRun, got.header.Get(caller.HeaderRun), indent(got.body))
	return nil
}

func (s *show) edit() error {
	model := &s.document.Models[0]
	model.Version += "-next"
	fmt.Fprintf(s.to.Out, "model %s goes to version %s\n", model.Name, model.Version)
	if err := s.put(); err != nil {
		return err
	}
	return s.until(func() (bool, error) {
		got, err := s.request(http.MethodPost, s.callers(1, caller.PathChat), chatBody(string(model.Name), false))
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

func (s *show) report() error {
	got, err := s.request(http.MethodGet, s.operators(0, "/admin/burn?format=text"), "", "Authorization", "Bearer "+demoToken)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.to.Out, "%s", got.body)
	return nil
}
