package hostlist

import (
	"context"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"cicadaloom/internal/domain/backend"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/peer/httpsend"
	"cicadaloom/internal/wire/engineapi"
)

const maxAnswerBytes = 4 << 10

// Register adds a host to the list at address, or replaces its entry.
func Register(ctx context.Context, address string, host backend.Server) error {
	body, err := engineapi.EncodeServer(host)
	if err != nil {
		return err
	}
	return sendChange(ctx, address, http.MethodPut, host.Name, body)
}

// Deregister removes a host from the list at address.
func Deregister(ctx context.Context, address string, name ident.ServerName) error {
	return sendChange(ctx, address, http.MethodDelete, name, nil)
}

func sendChange(ctx context.Context, address, method string, name ident.ServerName, body []byte) error {
	var client httpsend.Client
	defer client.Close()
	status, answer, err := client.Fetch(httpsend.Request{
		Context: ctx,
		Method:  method,
		Address: address,
		Path:    engineapi.PathHosts + "/" + url.PathEscape(string(name)),
		Body:    body,
		Once:    true,
	}, maxAnswerBytes)
	if err != nil {
		return err
	}
	if status != http.StatusNoContent {
		return errors.Errorf("host list: status %d: %s", status, answer)
	}
	return nil
}
