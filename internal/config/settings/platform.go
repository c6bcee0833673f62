package settings

import (
	"net"
	"net/url"
	"strconv"
	"strings"

	"cicadaloom/internal/config/jsonfile"
)

// Platform has the addresses of the platform's services.
type Platform struct {
	// KeyValue has the endpoints of the key-value service, as host:port.
	KeyValue []string
	// HostList is the base URL of the host list.
	HostList string
}

const maxEndpoints = 16

var platformTable = jsonfile.Object[Platform]{
	Members: []jsonfile.Member[Platform]{
		jsonfile.Required("KeyValue", func(p *Platform) *[]string { return &p.KeyValue },
			jsonfile.List[string]{
				Item: jsonfile.Text[string]{
					Check: isEndpoint,
					Form:  "an endpoint as host:port",
				},
				Min: 1,
				Max: maxEndpoints,
			},
			"The endpoints of the key-value service, tried in this order."),
		jsonfile.Required("HostList", func(p *Platform) *string { return &p.HostList }, baseURLCodec(),
			"The base URL of the list of live and leaving hosts."),
	},
}

func baseURLCodec() jsonfile.Text[string] {
	return jsonfile.Text[string]{
		Check: isBaseURL,
		Form:  "a URL with http and a host, without path, query or fragment,",
	}
}

func isEndpoint(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}

func isBaseURL(text string) bool {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || parsed.RawQuery != "" || parsed.Fragment != "" {
		return false
	}
	// The host list is read without TLS: accepting https here would suggest
	// encryption that is not used.
	return parsed.Scheme == "http" && strings.Trim(parsed.Path, "/") == ""
}
