package claims

import (
	"encoding/hex"
	"strings"
	"time"

	"cicadaloom/internal/domain/ident"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// entryKind says what an entry of the log does to its key.
type entryKind uint8

const (
	kindClaim entryKind = iota + 1
	kindFinish
	kindRelease
)

// entry is one line of a partition's log.
type entry struct {
	kind      entryKind
	key       keyID
	attempt   ident.AttemptID
	keepUntil time.Time

	// Of a claim.
	fingerprint ident.Fingerprint
	host        ident.HostID
	at          time.Time

	// Of a finish.
	status      int
	contentType string
	whole       bool
	body        []byte
	digest      uint64
}

// page is a head or a sealed segment. Only a head has numbers.
type page struct {
	first   uint64
	active  uint64
	raw     []byte
	entries []entry
}

// errPage says that a page can't be read. It must never be taken for an empty
// one: that would forget claims.
var errPage = errors.New("page of claims can't be read")

// Field numbers of the wire format, which is that of protocol buffers.
const (
	pageFirst  protowire.Number = 1
	pageActive protowire.Number = 2
	pageEntry  protowire.Number = 3

	entryKindField   protowire.Number = 1
	entryTeam        protowire.Number = 2
	entryKey         protowire.Number = 3
	entryAttempt     protowire.Number = 4
	entryRawAttempt  protowire.Number = 5
	entryKeepUntil   protowire.Number = 6
	entryFingerprint protowire.Number = 7
	entryHost        protowire.Number = 8
	entryAt          protowire.Number = 9
	entryStatus      protowire.Number = 10
	entryContentType protowire.Number = 11
	entryBody        protowire.Number = 12
	entryDigest      protowire.Number = 13
)

const attemptPrefix = "att-"

func encodeHead(first, active uint64, raw []byte) []byte {
	value := make([]byte, 0, len(raw)+2*(1+binaryMaxVarint))
	value = appendUint(value, pageFirst, first)
	value = appendUint(value, pageActive, active)
	return append(value, raw...)
}

const binaryMaxVarint = 10

func appendEntry(raw []byte, e *entry) []byte {
	var b []byte
	b = appendUint(b, entryKindField, uint64(e.kind))
	b = appendString(b, entryTeam, string(e.key.team))
	b = appendString(b, entryKey, string(e.key.key))
	b = appendAttempt(b, e.attempt)
	b = appendUint(b, entryKeepUntil, roundedUp(e.keepUntil))
	switch e.kind {
	case kindClaim:
		b = appendFixed(b, entryFingerprint, uint64(e.fingerprint))
		b = appendString(b, entryHost, string(e.host))
		b = appendUint(b, entryAt, uint64(e.at.UnixMilli()))
	case kindFinish:
		b = appendUint(b, entryStatus, uint64(e.status))
		b = appendString(b, entryContentType, e.contentType)
		if e.whole {
			b = protowire.AppendTag(b, entryBody, protowire.BytesType)
			b = protowire.AppendBytes(b, e.body)
		}
		b = appendFixed(b, entryDigest, e.digest)
	}
	raw = protowire.AppendTag(raw, pageEntry, protowire.BytesType)
	return protowire.AppendBytes(raw, b)
}

// appendAttempt writes an id of our usual form as its 16 bytes. Others, and the
// usual ones in capitals, which would not come back the same, stay strings.
func appendAttempt(b []byte, attempt ident.AttemptID) []byte {
	digits, usual := strings.CutPrefix(string(attempt), attemptPrefix)
	bits, err := hex.DecodeString(digits)
	if !usual || err != nil || hex.EncodeToString(bits) != digits {
		return appendString(b, entryAttempt, string(attempt))
	}
	b = protowire.AppendTag(b, entryRawAttempt, protowire.BytesType)
	return protowire.AppendBytes(b, bits)
}

func appendUint(b []byte, field protowire.Number, value uint64) []byte {
	b = protowire.AppendTag(b, field, protowire.VarintType)
	return protowire.AppendVarint(b, value)
}

func appendFixed(b []byte, field protowire.Number, value uint64) []byte {
	b = protowire.AppendTag(b, field, protowire.Fixed64Type)
	return protowire.AppendFixed64(b, value)
}

func appendString(b []byte, field protowire.Number, value string) []byte {
	if value == "" {
		return b
	}
	b = protowire.AppendTag(b, field, protowire.BytesType)
	return protowire.AppendString(b, value)
}

// roundedUp keeps a key a part of a millisecond longer rather than shorter.
func roundedUp(t time.Time) uint64 {
	return uint64(t.Add(time.Millisecond - time.Nanosecond).UnixMilli())
}

// field is one decoded field; number holds what isn't bytes.
type field struct {
	id     protowire.Number
	number uint64
	bytes  []byte
}

func consumeField(b []byte) (field, int, error) {
	id, wire, n := protowire.ConsumeTag(b)
	if n < 0 {
		return field{}, 0, errors.Wrap(errPage, protowire.ParseError(n).Error())
	}
	f := field{
		id: id,
	}
	m := 0
	switch wire {
	case protowire.VarintType:
		f.number, m = protowire.ConsumeVarint(b[n:])
	case protowire.Fixed64Type:
		f.number, m = protowire.ConsumeFixed64(b[n:])
	case protowire.BytesType:
		f.bytes, m = protowire.ConsumeBytes(b[n:])
	default:
		return field{}, 0, errors.Wrapf(errPage, "field %d has wire type %d", id, wire)
	}
	if m < 0 {
		return field{}, 0, errors.Wrap(errPage, protowire.ParseError(m).Error())
	}
	return f, n + m, nil
}

// decodePage reads a head or a segment. It keeps no part of value.
func decodePage(value []byte) (page, error) {
	var p page
	for rest := value; len(rest) > 0; {
		f, n, err := consumeField(rest)
		if err != nil {
			return page{}, err
		}
		switch f.id {
		case pageFirst:
			p.first = f.number
		case pageActive:
			p.active = f.number
		case pageEntry:
			e, err := decodeEntry(f.bytes)
			if err != nil {
				return page{}, err
			}
			p.entries = append(p.entries, e)
			p.raw = append(p.raw, rest[:n]...)
		default:
			return page{}, errors.Wrapf(errPage, "unknown field %d", f.id)
		}
		rest = rest[n:]
	}
	return p, nil
}

func decodeEntry(b []byte) (entry, error) {
	var e entry
	for len(b) > 0 {
		f, n, err := consumeField(b)
		if err != nil {
			return entry{}, err
		}
		if !e.set(f) {
			return entry{}, errors.Wrapf(errPage, "unknown field %d of an entry", f.id)
		}
		b = b[n:]
	}
	if e.kind < kindClaim || e.kind > kindRelease || e.attempt == "" || e.key.key == "" {
		return entry{}, errors.Wrap(errPage, "entry without kind, key or attempt")
	}
	return e, nil
}

func (e *entry) set(f field) bool {
	switch f.id {
	case entryKindField:
		e.kind = entryKind(f.number)
	case entryTeam:
		e.key.team = ident.TeamName(f.bytes)
	case entryKey:
		e.key.key = ident.IdempotencyKey(f.bytes)
	case entryAttempt:
		e.attempt = ident.AttemptID(f.bytes)
	case entryRawAttempt:
		e.attempt = ident.AttemptID(attemptPrefix + hex.EncodeToString(f.bytes))
	case entryKeepUntil:
		e.keepUntil = time.UnixMilli(int64(f.number)).UTC()
	default:
		return e.setOfKind(f)
	}
	return true
}

func (e *entry) setOfKind(f field) bool {
	switch f.id {
	case entryFingerprint:
		e.fingerprint = ident.Fingerprint(f.number)
	case entryHost:
		e.host = ident.HostID(f.bytes)
	case entryAt:
		e.at = time.UnixMilli(int64(f.number)).UTC()
	case entryStatus:
		e.status = int(f.number)
	case entryContentType:
		e.contentType = string(f.bytes)
	case entryBody:
		e.whole = true
		e.body = append([]byte(nil), f.bytes...)
	case entryDigest:
		e.digest = f.number
	default:
		return false
	}
	return true
}
