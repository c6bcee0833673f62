package fleet

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	tomb "gopkg.in/tomb.v2"

	"cicadaloom/internal/config/teamdoc"
	"cicadaloom/internal/load/counters"
	"cicadaloom/internal/traffic/host"
)

const (
	// pollPause is between two looks at whether the fleet is ready.
	pollPause = 50 * time.Millisecond
	bodyLimit = 1 << 20
)

// client makes a new connection for each request: an idle one would hold up a
// host that stops.
var client = &http.Client{
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
}

// poll waits until a condition holds. Its error is the last one of the condition.
func poll(ctx context.Context, holds func() error) error {
	for {
		err := holds()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollPause):
		case <-ctx.Done():
			return errors.Wrap(err, "not ready in time")
		}
	}
}

// putDocument edits the team's document into force. A host that has just
// started may not know the documents yet, so the edit is tried again.
func (f *Fleet) putDocument(ctx context.Context) error {
	text, err := teamdoc.Write(f.options.Size.Document())
	if err != nil {
		return err
	}
	return poll(ctx, func() error {
		url := "http://" + f.Hosts[0].OperatorsAddress + "/admin/documents/" + string(f.options.Size.Name)
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(text))
		if err != nil {
			return errors.Wrap(err, "document")
		}
		request.Header.Set("Authorization", "Bearer "+teamToken)
		request.Header.Set("If-Match", `"0"`)
		return expectOK(request)
	})
}

func expectOK(request *http.Request) error {
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "ask")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, bodyLimit))
	if err != nil {
		return errors.Wrap(err, "ask")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d: %s", request.URL.Path, response.StatusCode, body)
	}
	return nil
}

// awaitReady waits until the engines have all replicas that the document asks
// for, with their adapters, and every host routes to each model.
func (f *Fleet) awaitReady(ctx context.Context) error {
	if err := poll(ctx, f.loaded); err != nil {
		return err
	}
	var waiting tomb.Tomb
	for _, one := range f.Hosts {
		waiting.Go(func() error { return f.awaitHost(ctx, one) })
	}
	return waiting.Wait()
}

func (f *Fleet) awaitHost(ctx context.Context, one *host.Host) error {
	if err := poll(ctx, func() error { return f.inForce(ctx, one) }); err != nil {
		return err
	}
	for _, name := range f.names() {
		if err := poll(ctx, func() error { return f.probe(ctx, one.CallersAddress, name) }); err != nil {
			return err
		}
	}
	return nil
}

// inForce tells whether a host knows that all hosts have the document.
func (f *Fleet) inForce(ctx context.Context, one *host.Host) error {
	status, err := counters.ReadStatus(ctx, "http://"+one.OperatorsAddress, adminToken)
	if err != nil {
		return err
	}
	if status.LiveHosts != len(f.Hosts) || status.InForce != len(f.Hosts) {
		return errors.Errorf("%d hosts are live, %d have the document", status.LiveHosts, status.InForce)
	}
	return nil
}

// loaded tells which model is short of ready replicas with all adapters.
func (f *Fleet) loaded() error {
	ready := make(map[string]int)
	for _, one := range f.Engines {
		report := one.Report()
		for _, resident := range report.Residents {
			if !resident.Ready {
				continue
			}
			if resident.Adapter != "" {
				ready[string(resident.Adapter)]++
			} else {
				ready[string(resident.Model)]++
			}
		}
	}
	for i := range f.options.Size.Models {
		model := &f.options.Size.Models[i]
		if have := ready[string(model.Name)]; have < model.Replicas {
			return errors.Errorf("%s: %d of %d replicas are ready", model.Name, have, model.Replicas)
		}
		for _, adapter := range model.Adapters {
			if have := ready[string(adapter)]; have < model.Replicas {
				return errors.Errorf("%s: %d of %d replicas are ready", adapter, have, model.Replicas)
			}
		}
	}
	return nil
}

func (f *Fleet) names() []string {
	var names []string
	for i := range f.options.Size.Models {
		model := &f.options.Size.Models[i]
		names = append(names, string(model.Name))
		for _, adapter := range model.Adapters {
			names = append(names, string(adapter))
		}
	}
	return names
}

// probe asks a host for one token of a model.
func (f *Fleet) probe(ctx context.Context, callers, name string) error {
	body := `{"model":"` + name + `","max_tokens":1,"messages":[{"role":"user","content":"ready?"}]}`
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callers+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	return errors.Wrap(expectOK(request), name)
}

// Counters reads the fleet's counters, moves from the hosts that run.
func (f *Fleet) Counters(ctx context.Context) (*counters.Snapshot, error) {
	reader := counters.Reader{
		Token:   adminToken,
		Servers: f.servers,
	}
	for number, one := range f.Hosts {
		if !f.killed[number] {
			reader.Statuses = append(reader.Statuses, "http://"+one.OperatorsAddress)
		}
	}
	return reader.Read(ctx)
}
