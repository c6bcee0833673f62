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
	"cicadaloom/internal/peer/httpsend"
	"cicadaloom/internal/traffic/host"
)

const (
	// pollInterval is the time between two checks of a condition.
	pollInterval = 50 * time.Millisecond
	maxBodyBytes = 1 << 20
)

// client opens a new connection for each request: an idle connection would delay
// the shutdown of a host.
var client = &http.Client{
	Transport: httpsend.NewTransport(&http.Transport{
		DisableKeepAlives: true,
	}),
}

// poll calls condition until it returns nil. When the context ends first, poll
// returns the last error of condition.
func poll(ctx context.Context, condition func() error) error {
	for {
		err := condition()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Wrap(err, "fleet did not become ready in time")
		}
	}
}

// putDocument creates the team's document through the first host. It retries, since
// a host that has just started may not have received the documents yet.
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

// expectOK sends a request and returns an error unless the status is 200.
func expectOK(request *http.Request) error {
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "ask")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return errors.Wrap(err, "ask")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d: %s", request.URL.Path, response.StatusCode, body)
	}
	return nil
}

// awaitReady waits until the engines have all replicas that the document requires,
// with their adapters, and every host routes requests to each model.
func (f *Fleet) awaitReady(ctx context.Context) error {
	if err := poll(ctx, f.checkReplicasReady); err != nil {
		return err
	}
	var waiting tomb.Tomb
	for _, running := range f.Hosts {
		waiting.Go(func() error { return f.awaitHost(ctx, running) })
	}
	return waiting.Wait()
}

func (f *Fleet) awaitHost(ctx context.Context, running *host.Host) error {
	if err := poll(ctx, func() error { return f.checkDocumentInForce(ctx, running) }); err != nil {
		return err
	}
	for _, name := range f.servedNames() {
		if err := poll(ctx, func() error { return f.probe(ctx, running.CallersAddress, name) }); err != nil {
			return err
		}
	}
	return nil
}

// checkDocumentInForce returns nil once a host reports that all hosts have the
// document.
func (f *Fleet) checkDocumentInForce(ctx context.Context, running *host.Host) error {
	status, err := counters.ReadStatus(ctx, "http://"+running.OperatorsAddress, adminToken)
	if err != nil {
		return err
	}
	if status.LiveHosts != len(f.Hosts) || status.InForce != len(f.Hosts) {
		return errors.Errorf("%d hosts are live, %d have the document", status.LiveHosts, status.InForce)
	}
	return nil
}

// checkReplicasReady returns an error that names a model or adapter with too few
// ready replicas, or nil.
func (f *Fleet) checkReplicasReady() error {
	ready := make(map[string]int)
	for _, server := range f.Engines {
		report := server.Report()
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
		if numReady := ready[string(model.Name)]; numReady < model.Replicas {
			return errors.Errorf("%s: %d of %d replicas are ready", model.Name, numReady, model.Replicas)
		}
		for _, adapter := range model.Adapters {
			if numReady := ready[string(adapter)]; numReady < model.Replicas {
				return errors.Errorf("%s: %d of %d replicas are ready", adapter, numReady, model.Replicas)
			}
		}
	}
	return nil
}

func (f *Fleet) servedNames() []string {
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

// probe requests one token of a model through a host.
func (f *Fleet) probe(ctx context.Context, address, name string) error {
	body := `{"model":"` + name + `","max_tokens":1,"messages":[{"role":"user","content":"ready?"}]}`
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return errors.Wrap(err, "probe")
	}
	return errors.Wrap(expectOK(request), name)
}

// Counters reads the fleet's counters; moves come from the hosts that are not killed.
func (f *Fleet) Counters(ctx context.Context) (*counters.Snapshot, error) {
	reader := counters.Reader{
		Token:           adminToken,
		ServerAddresses: f.serverAddresses,
	}
	for number, running := range f.Hosts {
		if !f.isKilled[number] {
			reader.StatusURLs = append(reader.StatusURLs, "http://"+running.OperatorsAddress)
		}
	}
	return reader.Read(ctx)
}
