// Package settings defines the settings of one entry host and reads them from a
// JSON file: the sections, their defaults and their checks.
//
// Each section has its own source file with its struct, its defaults and the
// jsonfile table of its members. Reading, checking, writing and the reference page
// all use these tables, so they always agree. A field has the name of its setting.
//
// # Usage
//
//	loaded, err := settings.Load("/etc/cicadaloom/settings.json")
//	if err != nil {
//		// all faults at once, one per line: path, what was found, what is allowed
//	}
//	listener, err := net.Listen("tcp", loaded.Listen.Callers)
//
// Settings are read once when a process starts and do not change afterwards, so
// goroutines may share them. Configuration that changes at run time is in the team
// documents.
//
// # Units
//
// In the file, durations are written as "1.6s" and amounts of memory as "20GiB".
//
// # Consistency
//
// The section Claims, Control.LeaderLease and Host.DataCentres must be the same on
// all hosts.
package settings

import (
	"os"

	"cicadaloom/internal/config/jsonfile"

	"github.com/pkg/errors"
)

// Settings has all settings of one entry host.
type Settings struct {
	Host      Host
	Listen    Listen
	Platform  Platform
	Callers   Callers
	Policy    Policy
	Control   Control
	Claims    Claims
	Operators Operators
	TLS       TLS
	Log       Log
}

var settingsTable = jsonfile.Object[Settings]{
	Members: []jsonfile.Member[Settings]{
		jsonfile.Required("Host", func(s *Settings) *Host { return &s.Host }, HostTable, ""),
		jsonfile.Required("Listen", func(s *Settings) *Listen { return &s.Listen }, listenTable, ""),
		jsonfile.Required("Platform", func(s *Settings) *Platform { return &s.Platform }, platformTable, ""),
		jsonfile.Optional("Callers", func(s *Settings) *Callers { return &s.Callers }, callersTable, ""),
		jsonfile.Optional("Policy", func(s *Settings) *Policy { return &s.Policy }, policyTable, ""),
		jsonfile.Optional("Control", func(s *Settings) *Control { return &s.Control }, controlTable, ""),
		jsonfile.Optional("Claims", func(s *Settings) *Claims { return &s.Claims }, claimsTable, ""),
		jsonfile.Required("Operators", func(s *Settings) *Operators { return &s.Operators }, operatorsTable, ""),
		jsonfile.Optional("TLS", func(s *Settings) *TLS { return &s.TLS }, tlsTable, ""),
		jsonfile.Optional("Log", func(s *Settings) *Log { return &s.Log }, LogTable, ""),
	},
}

// Default returns settings with all defaults. Required members have the zero value.
func Default() Settings {
	return Settings{
		Callers: defaultCallers(),
		Policy:  defaultPolicy(),
		Control: defaultControl(),
		Claims:  defaultClaims(),
		Log:     defaultLog(),
	}
}

// Read reads settings from the text of a file. If the text is invalid, the error
// is of type jsonfile.Faults.
func Read(data []byte) (Settings, error) {
	result := Default()
	if err := jsonfile.Read(data, settingsTable, &result); err != nil {
		return Settings{}, err
	}
	return result, nil
}

// Load reads settings from the file at a path.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	result, err := Read(data)
	if err != nil {
		return Settings{}, errors.Wrapf(err, "settings in %s", file)
	}
	return result, nil
}

// Write returns settings as the text of a file that Read accepts.
func Write(settings Settings) []byte {
	return jsonfile.Write(settings, settingsTable)
}

// Field is one entry of the reference page.
type Field = jsonfile.Description

// Reference returns the reference page, one entry per member, in the order of the
// sections.
func Reference() []Field {
	return jsonfile.Describe(Default(), settingsTable)
}
