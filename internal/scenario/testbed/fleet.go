package testbed

import (
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// The default location of all hosts and servers of a scenario.
const (
	dataCentre = "brest-a"
	region     = "finistere"
)

// listenAddress returns the scenario's own loopback address with port 0. Scenarios run
// in parallel: on one shared address, a port that one scenario frees could be taken by
// another, which would then receive requests meant for the ended process.
func listenAddress(ts *testscript.TestScript) string {
	return ts.Getenv(loopbackVariable) + ":0"
}

func itoa(n int) string {
	return strconv.Itoa(n)
}

// readyAddress parses the address in a stand-in's ready line, "listening ADDRESS".
func readyAddress(ts *testscript.TestScript, line string) string {
	fields := strings.Fields(line)
	if len(fields) < 2 || fields[0] != "listening" {
		ts.Fatalf("found %q, expected listening ADDRESS", line)
	}
	return fields[1]
}

func cmdPlatform(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) == 0, "platform")
	s := scenarioOf(ts)
	line := s.start(ts, "kv", "standin", "etcd", "-listen", listenAddress(ts), "-admin", listenAddress(ts))
	ts.Setenv("kv", readyAddress(ts, line))
	ts.Setenv("kv_faults", strings.TrimPrefix(strings.Fields(line)[2], "admin="))
	for _, name := range []string{"hostlist", "weights"} {
		address := readyAddress(ts, s.start(ts, name, "standin", name, "-listen", listenAddress(ts)))
		ts.Setenv(name, address)
		ts.Setenv(name+"_faults", address)
	}
}

func cmdEngine(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) >= 1, "engine NAME [FLAGS]")
	arguments := append(registrationFlags(ts, "engine", args[0]), "-weights", ts.Getenv("weights"))
	address := readyAddress(ts, scenarioOf(ts).start(ts, args[0], "standin", append(arguments, args[1:]...)...))
	ts.Setenv(args[0], address)
	ts.Setenv(args[0]+"_faults", address)
}

func cmdService(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) >= 2, "service NAME SERVICE [FLAGS]")
	arguments := append(registrationFlags(ts, "plain", args[0]), "-service", args[1])
	address := readyAddress(ts, scenarioOf(ts).start(ts, args[0], "standin", append(arguments, args[2:]...)...))
	ts.Setenv(args[0], address)
	ts.Setenv(args[0]+"_faults", address)
}

// registrationFlags returns the arguments with which a stand-in registers itself in
// the host list.
func registrationFlags(ts *testscript.TestScript, kind, name string) []string {
	return []string{
		kind, "-listen", listenAddress(ts), "-register", "http://" + ts.Getenv("hostlist"), "-name", name,
		"-data-centre", dataCentre, "-region", region,
	}
}

func cmdRelay(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) == 2, "relay NAME TARGET")
	line := scenarioOf(ts).start(ts, args[0], "standin", "relay", "-listen", listenAddress(ts), "-admin", listenAddress(ts), "-target", args[1])
	ts.Setenv(args[0], readyAddress(ts, line))
	ts.Setenv(args[0]+"_faults", strings.TrimPrefix(strings.Fields(line)[2], "admin="))
}

// defaultSettings returns the settings of an entry host in a scenario. Intervals are
// shorter than a production host's, so that scenarios are quick.
func defaultSettings(ts *testscript.TestScript, name string) map[string]any {
	return map[string]any{
		"Host": map[string]any{
			"Name":        name,
			"DataCentre":  dataCentre,
			"Region":      region,
			"DataCentres": map[string]any{dataCentre: region, "lannion-a": "cotes-darmor"},
		},
		"Listen": map[string]any{
			"Callers":   listenAddress(ts),
			"Operators": listenAddress(ts),
			"Peers":     listenAddress(ts),
		},
		"Platform": map[string]any{
			"KeyValue": []any{ts.Getenv("kv")},
			"HostList": "http://" + ts.Getenv("hostlist"),
		},
		"Callers": map[string]any{
			"LameDuck": "0s",
		},
		"Operators": map[string]any{
			"Teams": []any{
				map[string]any{"Team": "kerlouan", "Token": TeamToken},
				map[string]any{"Team": "nour", "Token": OtherToken},
			},
			"AdminToken": AdminToken,
		},
		"Control": map[string]any{
			"ReportInterval":   "100ms",
			"ListInterval":     "200ms",
			"ExchangeInterval": "200ms",
			"PlanInterval":     "200ms",
		},
		"Log": map[string]any{
			"Level": "Debug",
		},
	}
}

// Tokens of the operators in all scenarios: of team kerlouan, of team nour, and of
// the administrators.
const (
	TeamToken  = "kerlouan-token-0123456789"
	OtherToken = "nour-token-0123456789-abc"
	AdminToken = "admin-token-0123456789-xyz"
)

func cmdHost(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, !neg && len(args) >= 1 && len(args) <= 2, "host NAME [SETTINGS.json]")
	name := args[0]
	merged := defaultSettings(ts, name)
	if len(args) == 2 {
		var overrides map[string]any
		ts.Check(json.Unmarshal([]byte(os.Expand(ts.ReadFile(args[1]), ts.Getenv)), &overrides))
		merge(merged, overrides)
	}
	data, err := json.MarshalIndent(merged, "", "  ")
	ts.Check(err)
	file := ts.MkAbs(name + ".settings.json")
	ts.Check(os.WriteFile(file, data, 0o600))
	line := scenarioOf(ts).start(ts, name, "cicadaloom", "serve", "-settings", file)
	for _, field := range strings.Fields(line)[1:] {
		kind, address, _ := strings.Cut(field, "=")
		ts.Setenv(name+"_"+kind, address)
	}
	ts.Setenv(name, ts.Getenv(name+"_callers"))
	registerHost(ts, name, merged["Host"].(map[string]any))
}

// registerHost adds an entry host to the platform's host list, as the platform would.
func registerHost(ts *testscript.TestScript, name string, host map[string]any) {
	body, err := json.Marshal(map[string]any{
		"Name":       name,
		"Kind":       "Entry",
		"State":      "Live",
		"Address":    ts.Getenv(name + "_peers"),
		"DataCentre": host["DataCentre"],
		"Region":     host["Region"],
	})
	ts.Check(err)
	answer, err := send(http.MethodPut, "http://"+ts.Getenv("hostlist")+"/hosts/"+name, nil, string(body))
	ts.Check(err)
	if answer.status >= http.StatusMultipleChoices {
		ts.Fatalf("the host list answered %d: %s", answer.status, answer.body)
	}
}

func merge(into, overrides map[string]any) {
	for key, value := range overrides {
		inner, isObject := value.(map[string]any)
		existing, isPresent := into[key].(map[string]any)
		if isObject && isPresent {
			merge(existing, inner)
			continue
		}
		into[key] = value
	}
}
