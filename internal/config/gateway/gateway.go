// Package gateway reads the settings of an entry host that takes its configuration and its
// backend servers from a platform's key-value service: it has the members of the JSON
// file, their defaults and their checks. The fields of the types are named as the members
// of the file. The command cicadaloom reads the settings at its start, and again when they
// are reloaded.
//
// # Usage
//
//	loaded, err := gateway.Load("/etc/cicadaloom/gateway.json")
//	if err != nil {
//		// all faults at once, one per line: path, what was found, what is allowed
//	}
//
// # Units
//
// Durations are written as "1.6s" or "300ms", memory as "20GiB".
package gateway

import (
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"cicadaloom/internal/config/jsonfile"
	"cicadaloom/internal/config/settings"
	"cicadaloom/internal/domain/unit"
)

// Settings are all settings of one entry host.
type Settings struct {
	Host   settings.Host
	Listen Listen
	// KeyValue is the address of the platform's key-value service.
	KeyValue string
	// Seeds are the addresses of peers to ask where the key-value service does not answer.
	Seeds     []string
	Memory    unit.Bytes
	Processor Processor
	// Descriptors is how many files and connections the process may have open.
	Descriptors int
	// FirstStart tells that the whole fleet starts for the first time, before any callers come.
	FirstStart bool
	Bounds     Bounds
	Locality   Locality
	Log        settings.Log
}

// Spill is where a plan decides how many requests leave their data centre.
type Spill string

// The modes.
const (
	SpillOff Spill = "Off"
	// SpillUneven plans for services whose servers tell how long work takes on their machines.
	SpillUneven Spill = "Uneven"
	SpillOn     Spill = "On"
)

// Locality configures when requests leave their data centre.
type Locality struct {
	Spill Spill
}

// Listen has the addresses, as ip:port, on which the host listens.
type Listen struct {
	Callers string
	// Ready serves the platform's check whether this host accepts clients.
	Ready string
	// Peers serves other entry hosts, and is the address that this host publishes to them.
	Peers string
	// Metrics is empty where no metrics are served.
	Metrics string
}

// Processor describes the CPU capacity of this process: Share is how many cores it may use,
// Speed is a core's speed relative to an ordinary one. In a fleet of unlike machines the
// hosts with the most capacity take the duties that only few hosts have.
type Processor struct {
	Share float64
	Speed float64
}

// CPUCapacity returns the capacity in cores of ordinary speed.
func (p Processor) CPUCapacity() float64 {
	return p.Share * p.Speed
}

// Bounds are limits that depend on the deployment.
type Bounds struct {
	// Grace is how long the host has from the signal to stop to its end.
	Grace time.Duration
	// HolderLease is the minimum time between the orders of two leaders to one engine.
	HolderLease time.Duration
	// Fenced tells that engines refuse the orders of earlier leaders.
	Fenced        bool
	RetryRatio    float64
	RetryWindow   time.Duration
	RetrySlack    float64
	LoadWindow    time.Duration
	LoadOvershoot float64
	// In any QuotaWindow a client account may use 1+QuotaOvershoot times what its limit allows,
	// and QuotaSlack more, in the limit's unit.
	QuotaWindow    time.Duration
	QuotaOvershoot float64
	QuotaSlack     float64
}

// Default returns settings with all defaults; fields without a default are zero.
func Default() Settings {
	return Settings{
		Memory: 256 * unit.Mebibyte,
		Processor: Processor{
			Share: 1,
			Speed: 1,
		},
		Descriptors: 4096,
		Bounds: Bounds{
			Grace:         8 * time.Second,
			HolderLease:   3 * time.Second,
			RetryRatio:    0.2,
			RetryWindow:   10 * time.Second,
			RetrySlack:    50,
			LoadWindow:    5 * time.Second,
			LoadOvershoot: 1,
			QuotaWindow:   8 * time.Second,
		},
		Locality: Locality{
			Spill: SpillOff,
		},
		Log: settings.Log{
			Level: settings.LevelInfo,
		},
	}
}

var settingsTable = jsonfile.Object[Settings]{
	Members: []jsonfile.Member[Settings]{
		jsonfile.Required("Host", func(s *Settings) *settings.Host { return &s.Host }, settings.HostTable, ""),
		jsonfile.Required("Listen", func(s *Settings) *Listen { return &s.Listen }, listenTable, ""),
		jsonfile.Required("KeyValue", func(s *Settings) *string { return &s.KeyValue }, addressText(),
			"Where the platform's key-value service answers, as ip:port."),
		jsonfile.Optional("Seeds", func(s *Settings) *[]string { return &s.Seeds },
			jsonfile.List[string]{
				Item: addressText(),
				Max:  maxSeeds,
			},
			"Peers to ask where the key-value service does not answer, as ip:port."),
		jsonfile.Optional("Memory", func(s *Settings) *unit.Bytes { return &s.Memory },
			jsonfile.Bytes{
				Min: 32 * unit.Mebibyte,
				Max: 64 * unit.Gibibyte,
			},
			"What this process may use."),
		jsonfile.Optional("Processor", func(s *Settings) *Processor { return &s.Processor }, processorTable, ""),
		jsonfile.Optional("Descriptors", func(s *Settings) *int { return &s.Descriptors },
			jsonfile.Integer[int]{
				Min: 64,
				Max: 1 << 20,
			},
			"How many files and connections this process may have open; connections of clients take half of them at most."),
		jsonfile.Optional("FirstStart", func(s *Settings) *bool { return &s.FirstStart }, jsonfile.Boolean{},
			"Whether the whole fleet starts for the first time: hosts take a second to learn of one another then, rather than each ask for everything at once."),
		jsonfile.Optional("Bounds", func(s *Settings) *Bounds { return &s.Bounds }, boundsTable, ""),
		jsonfile.Optional("Locality", func(s *Settings) *Locality { return &s.Locality }, localityTable, ""),
		jsonfile.Optional("Log", func(s *Settings) *settings.Log { return &s.Log }, settings.LogTable, ""),
	},
}

const maxSeeds = 16

func addressText() jsonfile.Text[string] {
	return jsonfile.Text[string]{
		Check: isAddress,
		Form:  "an address as ip:port",
	}
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

var listenTable = jsonfile.Object[Listen]{
	Members: []jsonfile.Member[Listen]{
		jsonfile.Required("Callers", func(l *Listen) *string { return &l.Callers }, addressText(),
			"Where clients reach this host, as ip:port."),
		jsonfile.Required("Ready", func(l *Listen) *string { return &l.Ready }, addressText(),
			"Where the platform asks whether this host takes clients."),
		jsonfile.Required("Peers", func(l *Listen) *string { return &l.Peers }, addressText(),
			"Where other entry hosts reach this host; it is told to them as it stands here."),
		jsonfile.Optional("Metrics", func(l *Listen) *string { return &l.Metrics }, addressText(),
			"Where metrics are served, at the path /metrics."),
	},
}

var processorTable = jsonfile.Object[Processor]{
	Members: []jsonfile.Member[Processor]{
		jsonfile.Optional("Share", func(p *Processor) *float64 { return &p.Share },
			jsonfile.Number{
				Min: 0.01,
				Max: 1024,
			},
			"How many cores this process may use, or which part of one."),
		jsonfile.Optional("Speed", func(p *Processor) *float64 { return &p.Speed },
			jsonfile.Number{
				Min: 0.01,
				Max: 1024,
			},
			"How fast a core is, 1 for an ordinary one; hosts compare it among themselves."),
	},
}

var localityTable = jsonfile.Object[Locality]{
	Members: []jsonfile.Member[Locality]{
		jsonfile.Optional("Spill", func(l *Locality) *Spill { return &l.Spill },
			jsonfile.Text[Spill]{
				OneOf: []Spill{SpillOff, SpillUneven, SpillOn},
			},
			"Where the room of the data centres decides how many requests leave their own, in place of constant costs: Uneven for services whose servers tell how long work takes on their machines at the moment, On for all whose servers tell their load."),
	},
}

var boundsTable = jsonfile.Object[Bounds]{
	Members: []jsonfile.Member[Bounds]{
		jsonfile.Optional("Grace", func(b *Bounds) *time.Duration { return &b.Grace }, durationRange(time.Second),
			"How long the host has from the signal to stop to its end."),
		jsonfile.Optional("HolderLease", func(b *Bounds) *time.Duration { return &b.HolderLease }, durationRange(100*time.Millisecond),
			"How far apart the orders of two hosts to one engine must be; the same on every host."),
		jsonfile.Optional("Fenced", func(b *Bounds) *bool { return &b.Fenced }, jsonfile.Boolean{},
			"Whether engines refuse the orders of earlier holders."),
		jsonfile.Optional("RetryRatio", func(b *Bounds) *float64 { return &b.RetryRatio },
			jsonfile.Number{
				Min: 0,
				Max: 1,
			},
			"How many retries one request pays for."),
		jsonfile.Optional("RetryWindow", func(b *Bounds) *time.Duration { return &b.RetryWindow }, durationRange(100*time.Millisecond),
			"The span that the retry budget holds over."),
		jsonfile.Optional("RetrySlack", func(b *Bounds) *float64 { return &b.RetrySlack },
			jsonfile.Number{
				Min: 0,
				Max: 100000,
			},
			"How many retries in a window are free, over all hosts."),
		jsonfile.Optional("LoadWindow", func(b *Bounds) *time.Duration { return &b.LoadWindow }, durationRange(100*time.Millisecond),
			"The span that the pace of loads from the weight store holds over."),
		jsonfile.Optional("LoadOvershoot", func(b *Bounds) *float64 { return &b.LoadOvershoot },
			jsonfile.Number{
				Min: 0,
				Max: 10,
			},
			"How much more than the weight store's own pace may begin in a window, as a factor."),
		jsonfile.Optional("QuotaWindow", func(b *Bounds) *time.Duration { return &b.QuotaWindow }, durationRange(100*time.Millisecond),
			"The span that the limits of client accounts hold over."),
		jsonfile.Optional("QuotaOvershoot", func(b *Bounds) *float64 { return &b.QuotaOvershoot },
			jsonfile.Number{
				Min: 0,
				Max: 10,
			},
			"How much more than its limit a client account may use in a window, as a share of the limit."),
		jsonfile.Optional("QuotaSlack", func(b *Bounds) *float64 { return &b.QuotaSlack },
			jsonfile.Number{
				Min: 0,
				Max: 1e12,
			},
			"How much a client account may use on top of that in a window, in tokens or requests as its limit counts."),
	},
}

// durationRange accepts durations from a minimum to an hour.
func durationRange(minimum time.Duration) jsonfile.Duration {
	return jsonfile.Duration{
		Min: minimum,
		Max: time.Hour,
	}
}

// Load reads settings from a file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	result, err := Read(data)
	return result, errors.Wrapf(err, "settings in %s", file)
}

// Read decodes settings from the text of a file. A fault in the text is returned as an
// error of type jsonfile.Faults.
func Read(data []byte) (Settings, error) {
	result := Default()
	if err := jsonfile.Read(data, settingsTable, &result); err != nil {
		return Settings{}, err
	}
	return result, nil
}

// Reference returns the reference page, one description per member.
func Reference() []jsonfile.Description {
	return jsonfile.Describe(Default(), settingsTable)
}
