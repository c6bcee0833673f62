package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cicadaloom/internal/config/jsonfile"
	"cicadaloom/internal/domain/unit"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

const minimalSettings = `{
  "Host": {"Name": "brest-a-1", "DataCentre": "brest-a", "Region": "finistere",
    "DataCentres": {"brest-a": "finistere", "lannion-a": "cotes-d-armor"}},
  "Listen": {"Callers": "127.0.0.1:8080", "Operators": "127.0.0.1:8081", "Peers": "127.0.0.1:8082"},
  "Platform": {"KeyValue": ["127.0.0.1:2379"], "HostList": "http://127.0.0.1:8500"},
  "Operators": {"Teams": [{"Team": "kerlouan", "Token": "kerlouan-0123456789"}]}
}`

func TestMinimalSettingsGetDefaults(t *testing.T) {
	got, err := Read([]byte(minimalSettings))
	require.NoError(t, err)
	require.Equal(t, 4*unit.Mebibyte, got.Callers.MaxBody)
	require.Equal(t, 16, got.Claims.Partitions)
	require.Equal(t, 100*time.Millisecond, got.Claims.Pace)
	require.Equal(t, 24*time.Hour, got.Claims.Keep)
	require.Equal(t, LeastCost, got.Policy.Routing)
	require.Equal(t, LevelInfo, got.Log.Level)
	again, err := Read(Write(got))
	require.NoError(t, err)
	require.Equal(t, got, again)
}

func TestReadReportsFaultWithItsPath(t *testing.T) {
	cases := []struct {
		replace string
		by      string
		want    string
	}{
		{`"Region": "finistere"`, `"Region": "morbihan"`, `Host.Region: found "morbihan", allowed "finistere", the region of brest-a`},
		{`"DataCentre": "brest-a"`, `"DataCentre": "brest-b"`, `Host.DataCentre: found "brest-b"`},
		{`"Name": "brest-a-1"`, `"Name": "Brest A"`, `Host.Name: found "Brest A"`},
		{`"lannion-a": `, `"lannion a": `, `Host.DataCentres.lannion a: found this name`},
		{`127.0.0.1:8081`, `127.0.0.1:8080`, `Listen.Operators: found "127.0.0.1:8080", allowed an address other than that of Callers`},
		{`127.0.0.1:8082`, `0.0.0.0:8082`, `Listen.Peers: found "0.0.0.0:8082"`},
		{`127.0.0.1:8080`, `localhost:8080`, `Listen.Callers: found "localhost:8080"`},
		{`["127.0.0.1:2379"]`, `[]`, `Platform.KeyValue: found a list of 0`},
		{`"127.0.0.1:2379"`, `"127.0.0.1"`, `Platform.KeyValue[0]: found "127.0.0.1"`},
		{`http://127.0.0.1:8500`, `127.0.0.1:8500`, `Platform.HostList: found "127.0.0.1:8500"`},
		{`kerlouan-0123456789`, `short`, `Operators.Teams[0].Token: found a secret of 5 bytes`},
		{`"Teams":`, `"AdminToken": "kerlouan-0123456789", "Teams":`, `Operators.Teams[0].Token: found a token that stands elsewhere too`},
		{`"Operators": {"Teams"`, `"TLS": {"KeyFile": "key.pem"}, "Operators": {"Teams"`, `TLS.CertificateFile: found nothing`},
		{`"Operators": {"Teams"`, `"TLS": {"CertificateFile": "host.pem"}, "Operators": {"Teams"`, `TLS.KeyFile: found nothing`},
		{`"brest-a-1"`, `"brest-a-1 "`, `Host.Name: found "brest-a-1 "`},
		{`"brest-a-1"`, `"-brest"`, `Host.Name: found "-brest"`},
		{`"Operators": {"Teams"`, `"Policy": {"Routing": "Best"}, "Operators": {"Teams"`, `Policy.Routing: found "Best", allowed "LeastCost" or "Random"`},
		{`"Operators": {"Teams"`, `"Policy": {"MovesWeight": -0.1}, "Operators": {"Teams"`, `Policy.MovesWeight: found -0.1, allowed a number from 0 to 1`},
		{`"Operators": {"Teams"`, `"Callers": {"DrainTimeout": "1s"}, "Operators": {"Teams"`, `Callers.DrainTimeout: found 1s, allowed at least MaxDeadline`},
		{`"Operators": {"Teams"`, `"Callers": {"DefaultDeadline": "1h"}, "Operators": {"Teams"`, `Callers.DefaultDeadline: found 1h0m0s, allowed at most MaxDeadline`},
		{`"Operators": {"Teams"`, `"Control": {"LeaderLease": "1s"}, "Operators": {"Teams"`, `Control.LeaderLease: found 1s, allowed at least twice CallTimeout`},
		{`"Listen": {"Callers": "127.0.0.1:8080", "Operators": "127.0.0.1:8081", "Peers": "127.0.0.1:8082"},`, ``, `Listen: found nothing, allowed an object`},
	}
	for _, c := range cases {
		require.Contains(t, minimalSettings, c.replace)
		_, err := Read([]byte(strings.Replace(minimalSettings, c.replace, c.by, 1)))
		var faults jsonfile.Faults
		require.True(t, errors.As(err, &faults), c.by)
		require.Len(t, faults, 1, c.by)
		require.Contains(t, faults[0].String(), c.want)
	}
}

func TestLoadErrorNamesFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	_, err := Load(file)
	require.True(t, errors.Is(err, os.ErrNotExist))
	require.NoError(t, os.WriteFile(file, []byte("{}"), 0o600))
	_, err = Load(file)
	require.ErrorContains(t, err, file)
	require.ErrorContains(t, err, "Host: found nothing")
	require.NoError(t, os.WriteFile(file, []byte(minimalSettings), 0o600))
	_, err = Load(file)
	require.NoError(t, err)
}

// The reference page is generated from the tables, so a member without a meaning
// would be blank on that page.
func TestReferenceDescribesEveryMember(t *testing.T) {
	defaults := make(map[string]string)
	for _, field := range Reference() {
		require.NotEmpty(t, field.Meaning, field.Path)
		require.NotEmpty(t, field.Allowed, field.Path)
		require.NotEmpty(t, field.Kind, field.Path)
		defaults[field.Path] = field.Default
	}
	require.Equal(t, `"24h"`, defaults["Claims.Keep"])
	require.Equal(t, "required", defaults["Host.Name"])
	require.Equal(t, "required", defaults["Operators.Teams[].Token"])
	require.Len(t, defaults, 37)
}
