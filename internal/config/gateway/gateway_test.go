package gateway

import (
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"cicadaloom/internal/config/jsonfile"
)

const validSettings = `{
  "Host": {"Name": "entry-1", "DataCentre": "brest-a", "Region": "finistere", "DataCentres": {"brest-a": "finistere"}},
  "Listen": {"Callers": "10.1.0.38:8149", "Ready": "10.1.0.38:8141", "Peers": "10.1.0.38:8144"},
  "KeyValue": "10.200.1.7:8142",
  "Seeds": ["10.2.0.40:8144"],
  "Memory": "284MiB",
  "Bounds": {"Grace": "9s", "RetryRatio": 0.2, "Fenced": true}
}`

func TestReadValidSettings(t *testing.T) {
	loaded, err := Read([]byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, 9*time.Second, loaded.Bounds.Grace)
	require.Equal(t, 3*time.Second, loaded.Bounds.HolderLease, "the default")
	require.True(t, loaded.Bounds.Fenced)
	require.Empty(t, loaded.Listen.Metrics)
	require.Equal(t, SpillOff, loaded.Locality.Spill, "the default")
}

// One error reports all faults of a file.
func TestReadReportsAllFaults(t *testing.T) {
	_, err := Read([]byte(`{
  "Host": {"Name": "Entry 1", "DataCentre": "brest-a", "Region": "finistere", "DataCentres": {"brest-a": "finistere"}},
  "Listen": {"Callers": "everywhere", "Ready": "10.1.0.38:8141"},
  "Seeds": ["10.2.0.40"],
  "Memory": "little",
  "Bounds": {"Grace": "9", "RetryRatio": -1, "Fenced": "yes"},
  "Locality": {"Spill": "Often"},
  "Colour": "red"
}`))
	var faults jsonfile.Faults
	require.True(t, errors.As(err, &faults))
	for _, path := range []string{"Host.Name", "Listen.Callers", "Listen.Peers", "KeyValue", "Seeds[0]", "Memory", "Bounds.Grace", "Bounds.RetryRatio", "Bounds.Fenced", "Locality.Spill", "Colour"} {
		require.ErrorContains(t, err, path)
	}
}

func TestLoadMissingFile(t *testing.T) {
	_, err := Load("/nonexistent/gateway.json")
	require.ErrorIs(t, err, os.ErrNotExist)
}

func TestReferenceDescribesSettings(t *testing.T) {
	require.Greater(t, len(Reference()), 15)
	for _, field := range Reference() {
		require.NotEmpty(t, field.Allowed, field.Path)
	}
}
