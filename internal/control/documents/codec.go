package documents

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"cicadaloom/internal/config/teamdoc"
	"cicadaloom/internal/domain/document"
	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"

	"github.com/pkg/errors"
)

// The keys in the platform's key-value service.
const (
	Prefix        = "/cicadaloom/documents/"
	SummaryKey    = "/cicadaloom/summary"
	historyPrefix = "/cicadaloom/history/"
)

// Key returns the key of a team's document.
func Key(team ident.TeamName) string {
	return Prefix + string(team)
}

// HistoryPrefix returns the prefix of the keys of a team's superseded versions;
// DecodeVersion reads their values.
func HistoryPrefix(team ident.TeamName) string {
	return historyPrefix + string(team) + "/"
}

func historyKey(team ident.TeamName, revision ident.Revision) string {
	// The leading zeros make keys sort by revision.
	return fmt.Sprintf("%s%019d", HistoryPrefix(team), revision)
}

// Version is one accepted version of a team's document.
type Version struct {
	Team     ident.TeamName
	Revision ident.Revision
	Edit     ident.EditID
	// SwapSentAt is when the host that accepted the edit sent its swap, by that host's clock.
	SwapSentAt time.Time
	// Text is the document as the operator submitted it; empty for a tombstone.
	Text    []byte
	Deleted bool
}

// versionRef identifies an earlier version.
type versionRef struct {
	edit     ident.EditID
	revision ident.Revision
}

// storedDocument is the decoded value of a document's key. The revision of its
// version is not in the value but is that of the entry.
type storedDocument struct {
	version Version
	// previousEdit is the revision of the accepted edit before this one, of any team.
	previousEdit ident.Revision
	// earlierVersions are the versions before this one, the newest first.
	earlierVersions []versionRef
}

type wireVersion struct {
	Team     string
	Revision int64 `json:",omitempty"`
	Edit     string
	At       time.Time
	Text     string `json:",omitempty"`
	Deleted  bool   `json:",omitempty"`
}

type wireRef struct {
	Edit     string
	Revision int64
}

type wireStoredDocument struct {
	wireVersion
	After   int64
	Earlier []wireRef `json:",omitempty"`
}

type wireSummary struct {
	Edit     string
	Team     string
	Teams    int
	Models   int
	Adapters int
	Services int
	// Memory is the memory of the least number of replicas of all models, in bytes.
	Memory int64
}

func encode(value any) []byte {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	// Encoding can't fail: all values are strings, numbers and times with years below 10000.
	_ = encoder.Encode(value)
	return bytes.TrimSuffix(out.Bytes(), []byte("\n"))
}

func (v *Version) wire() wireVersion {
	return wireVersion{
		Team:     string(v.Team),
		Revision: int64(v.Revision),
		Edit:     string(v.Edit),
		At:       v.SwapSentAt.UTC(),
		Text:     string(v.Text),
		Deleted:  v.Deleted,
	}
}

func (w *wireVersion) version() Version {
	return Version{
		Team:       ident.TeamName(w.Team),
		Revision:   ident.Revision(w.Revision),
		Edit:       ident.EditID(w.Edit),
		SwapSentAt: w.At,
		Text:       []byte(w.Text),
		Deleted:    w.Deleted,
	}
}

func encodeVersion(v *Version) []byte {
	return encode(v.wire())
}

// DecodeVersion reads a value under HistoryPrefix.
func DecodeVersion(value []byte) (Version, error) {
	var wire wireVersion
	if err := json.Unmarshal(value, &wire); err != nil {
		return Version{}, errors.Wrap(err, "decode version")
	}
	return wire.version(), nil
}

func encodeStoredDocument(s *storedDocument) []byte {
	wire := wireStoredDocument{
		wireVersion: s.version.wire(),
		After:       int64(s.previousEdit),
	}
	wire.Revision = 0 // the key-value service assigns it
	for _, r := range s.earlierVersions {
		wire.Earlier = append(wire.Earlier, wireRef{
			Edit:     string(r.edit),
			Revision: int64(r.revision),
		})
	}
	return encode(wire)
}

// decodeStoredDocument reads the value of a document's key and the document in it,
// which is nil for a tombstone.
func decodeStoredDocument(key string, revision ident.Revision, value []byte) (*storedDocument, *document.Document, error) {
	var wire wireStoredDocument
	if err := json.Unmarshal(value, &wire); err != nil {
		return nil, nil, errors.Wrap(err, "decode stored document")
	}
	if strings.TrimPrefix(key, Prefix) != wire.Team {
		return nil, nil, errors.Errorf("stored document of team %q under key %q", wire.Team, key)
	}
	result := &storedDocument{
		version:      wire.version(),
		previousEdit: ident.Revision(wire.After),
	}
	result.version.Revision = revision
	for _, r := range wire.Earlier {
		result.earlierVersions = append(result.earlierVersions, versionRef{
			edit:     ident.EditID(r.Edit),
			revision: ident.Revision(r.Revision),
		})
	}
	if wire.Deleted {
		return result, nil, nil
	}
	doc, err := teamdoc.Read(result.version.Text)
	if err != nil {
		return nil, nil, errors.Wrap(err, "stored document")
	}
	return result, doc, nil
}

// encodeSummary encodes what all documents need together. The content is for
// people to read; machines use only the revision of the key.
func encodeSummary(edit *EditSubmitted, docs map[ident.TeamName]*document.Document) []byte {
	summary := wireSummary{
		Edit:  string(edit.Edit),
		Team:  string(edit.Team),
		Teams: len(docs),
	}
	for _, doc := range docs {
		summary.Models += len(doc.Models)
		summary.Services += len(doc.Services)
		for i := range doc.Models {
			model := &doc.Models[i]
			summary.Adapters += len(model.Adapters)
			summary.Memory += int64(teamdoc.ReplicaMemory(model) * unit.Bytes(model.Replicas))
		}
	}
	return encode(summary)
}
