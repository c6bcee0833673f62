package settings

import (
	"net/netip"
	"strconv"

	"cicadaloom/internal/config/jsonfile"
)

// Listen has the addresses, as ip:port, on which the host listens. With port 0
// the operating system chooses a port.
type Listen struct {
	Callers   string
	Operators string
	// Peers is also the address that this host announces to other entry hosts.
	Peers string
}

var listenTable = jsonfile.Object[Listen]{
	Members: []jsonfile.Member[Listen]{
		jsonfile.Required("Callers", func(l *Listen) *string { return &l.Callers }, addressCodec(isAddress, "an address as ip:port"),
			"Where callers reach this host."),
		jsonfile.Required("Operators", func(l *Listen) *string { return &l.Operators }, addressCodec(isAddress, "an address as ip:port"),
			"Where operators, probes and metrics reach this host."),
		jsonfile.Required("Peers", func(l *Listen) *string { return &l.Peers },
			addressCodec(isDialable, "an address as ip:port that other hosts can dial (not 0.0.0.0 or ::)"),
			"Where other entry hosts reach this host; it is told to them as it stands here."),
	},
	Check: checkListen,
}

func addressCodec(check func(string) bool, form string) jsonfile.Text[string] {
	return jsonfile.Text[string]{
		Check: check,
		Form:  form,
	}
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func isDialable(text string) bool {
	parsed, err := netip.ParseAddrPort(text)
	return err == nil && !parsed.Addr().IsUnspecified()
}

func checkListen(l *Listen, path string, faults *jsonfile.Faults) {
	members := []struct {
		name    string
		address string
	}{
		{
			name:    "Callers",
			address: l.Callers,
		},
		{
			name:    "Operators",
			address: l.Operators,
		},
		{
			name:    "Peers",
			address: l.Peers,
		},
	}
	memberByAddress := make(map[netip.AddrPort]string)
	for _, m := range members {
		parsed, err := netip.ParseAddrPort(m.address)
		if err != nil || parsed.Port() == 0 {
			continue
		}
		if other, taken := memberByAddress[parsed]; taken {
			faults.Add(jsonfile.MemberPath(path, m.name), strconv.Quote(m.address), "an address other than that of "+other)
		}
		memberByAddress[parsed] = m.name
	}
}
