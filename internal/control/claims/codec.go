package claims

import (
	"encoding/hex"
	"strings"
	"time"

	"cicadaloom/internal/domain/ident"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// entryKind is the operation that a log entry applies to its key.
type entryKind uint8

const (
	kindClaim entryKind = iota + 1
	kindFinish
	kindRelease
)

// entry is one operation in a partition's log.
type entry struct {
	kind      entryKind
	key       keyID
	attempt   ident.AttemptID
	keepUntil time.Time

	// Of a claim only.
	fingerprint ident.Fingerprint
	host        ident.HostID
	claimedAt   time.Time

	// Of a finish only.
	status      int
	contentType string
	bodyKept    bool
	body        []byte
	digest      uint64
}

// page is a decoded head or sealed segment. Only a head has segment numbers.
type page struct {
	firstSegment  uint64
	activeSegment uint64
	rawEntries    []byte
	entries       []entry
}

// errInvalidPage reports a page that can't be decoded. It must never be handled as an
// empty page: the claims on it would be lost.
var errInvalidPage = errors.New("page of claims can't be read")

// Field numbers of a stored page, which is in the protocol buffers wire format.
const (
	pageFirstSegment  protowire.Number = 1
	pageActiveSegment protowire.Number = 2
	pageEntry         protowire.Number = 3

	entryKindField    protowire.Number = 1
	entryTeam         protowire.Number = 2
	entryKey          protowire.Number = 3
	entryAttempt      protowire.Number = 4
	entryAttemptBytes protowire.Number = 5
	entryKeepUntil    protowire.Number = 6
	entryFingerprint  protowire.Number = 7
	entryHost         protowire.Number = 8
	entryClaimedAt    protowire.Number = 9
	entryStatus       protowire.Number = 10
	entryContentType  protowire.Number = 11
	entryBody         protowire.Number = 12
	entryDigest       protowire.Number = 13
)

const attemptPrefix = "att-"

func encodeHead(firstSegment, activeSegment uint64, rawEntries []byte) []byte {
	value := make([]byte, 0, len(rawEntries)+2*(1+maxVarintSize))
	value = appendUint(value, pageFirstSegment, firstSegment)
	value = appendUint(value, pageActiveSegment, activeSegment)
	return append(value, rawEntries...)
}

const maxVarintSize = 10

func appendEntry(rawEntries []byte, e *entry) []byte {
	var b []byte
	b = appendUint(b, entryKindField, uint64(e.kind))
	b = appendString(b, entryTeam, string(e.key.team))
	b = appendString(b, entryKey, string(e.key.key))
	b = appendAttempt(b, e.attempt)
	b = appendUint(b, entryKeepUntil, ceilUnixMilli(e.keepUntil))
	switch e.kind {
	case kindClaim:
		b = appendFixed(b, entryFingerprint, uint64(e.fingerprint))
		b = appendString(b, entryHost, string(e.host))
		b = appendUint(b, entryClaimedAt, uint64(e.claimedAt.UnixMilli()))
	case kindFinish:
		b = appendUint(b, entryStatus, uint64(e.status))
		b = appendString(b, entryContentType, e.contentType)
		if e.bodyKept {
			b = protowire.AppendTag(b, entryBody, protowire.BytesType)
			b = protowire.AppendBytes(b, e.body)
		}
		b = appendFixed(b, entryDigest, e.digest)
	}
	rawEntries = protowire.AppendTag(rawEntries, pageEntry, protowire.BytesType)
	return protowire.AppendBytes(rawEntries, b)
}

// appendAttempt writes an id of the generated form, attemptPrefix and lowercase hex,
// as the bytes that the hex stands for (16). Any other id is written as a string,
// also one with uppercase hex, which would not decode to the same id.
func appendAttempt(b []byte, attempt ident.AttemptID) []byte {
	digits, hasPrefix := strings.CutPrefix(string(attempt), attemptPrefix)
	id, err := hex.DecodeString(digits)
	if !hasPrefix || err != nil || hex.EncodeToString(id) != digits {
		return appendString(b, entryAttempt, string(attempt))
	}
	b = protowire.AppendTag(b, entryAttemptBytes, protowire.BytesType)
	return protowire.AppendBytes(b, id)
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

// ceilUnixMilli rounds up to whole milliseconds, so that a key is never kept for less
// time than its claim asked for.
func ceilUnixMilli(t time.Time) uint64 {
	return uint64(t.Add(time.Millisecond - time.Nanosecond).UnixMilli())
}

// field is one decoded field: number has a varint or fixed64 value, bytes a
// length-delimited one.
type field struct {
	id     protowire.Number
	number uint64
	bytes  []byte
}

// consumeField decodes the first field of b and returns its encoded size in bytes.
func consumeField(b []byte) (field, int, error) {
	id, wireType, tagSize := protowire.ConsumeTag(b)
	if tagSize < 0 {
		return field{}, 0, errors.Wrap(errInvalidPage, protowire.ParseError(tagSize).Error())
	}
	f := field{
		id: id,
	}
	valueSize := 0
	switch wireType {
	case protowire.VarintType:
		f.number, valueSize = protowire.ConsumeVarint(b[tagSize:])
	case protowire.Fixed64Type:
		f.number, valueSize = protowire.ConsumeFixed64(b[tagSize:])
	case protowire.BytesType:
		f.bytes, valueSize = protowire.ConsumeBytes(b[tagSize:])
	default:
		return field{}, 0, errors.Wrapf(errInvalidPage, "field %d has wire type %d", id, wireType)
	}
	if valueSize < 0 {
		return field{}, 0, errors.Wrap(errInvalidPage, protowire.ParseError(valueSize).Error())
	}
	return f, tagSize + valueSize, nil
}

// decodePage decodes a head or a segment. The result shares no memory with value.
func decodePage(value []byte) (page, error) {
	var p page
	for rest := value; len(rest) > 0; {
		f, size, err := consumeField(rest)
		if err != nil {
			return page{}, err
		}
		switch f.id {
		case pageFirstSegment:
			p.firstSegment = f.number
		case pageActiveSegment:
			p.activeSegment = f.number
		case pageEntry:
			e, err := decodeEntry(f.bytes)
			if err != nil {
				return page{}, err
			}
			p.entries = append(p.entries, e)
			p.rawEntries = append(p.rawEntries, rest[:size]...)
		default:
			return page{}, errors.Wrapf(errInvalidPage, "unknown field %d", f.id)
		}
		rest = rest[size:]
	}
	return p, nil
}

func decodeEntry(b []byte) (entry, error) {
	var e entry
	for len(b) > 0 {
		f, size, err := consumeField(b)
		if err != nil {
			return entry{}, err
		}
		if !e.setField(f) {
			return entry{}, errors.Wrapf(errInvalidPage, "unknown field %d of an entry", f.id)
		}
		b = b[size:]
	}
	if e.kind < kindClaim || e.kind > kindRelease || e.attempt == "" || e.key.key == "" {
		return entry{}, errors.Wrap(errInvalidPage, "entry without kind, key or attempt")
	}
	return e, nil
}

// setField sets a decoded field and reports whether its number is known.
func (e *entry) setField(f field) bool {
	switch f.id {
	case entryKindField:
		e.kind = entryKind(f.number)
	case entryTeam:
		e.key.team = ident.TeamName(f.bytes)
	case entryKey:
		e.key.key = ident.IdempotencyKey(f.bytes)
	case entryAttempt:
		e.attempt = ident.AttemptID(f.bytes)
	case entryAttemptBytes:
		e.attempt = ident.AttemptID(attemptPrefix + hex.EncodeToString(f.bytes))
	case entryKeepUntil:
		e.keepUntil = time.UnixMilli(int64(f.number)).UTC()
	default:
		return e.setKindField(f)
	}
	return true
}

func (e *entry) setKindField(f field) bool {
	switch f.id {
	case entryFingerprint:
		e.fingerprint = ident.Fingerprint(f.number)
	case entryHost:
		e.host = ident.HostID(f.bytes)
	case entryClaimedAt:
		e.claimedAt = time.UnixMilli(int64(f.number)).UTC()
	case entryStatus:
		e.status = int(f.number)
	case entryContentType:
		e.contentType = string(f.bytes)
	case entryBody:
		e.bodyKept = true
		e.body = append([]byte(nil), f.bytes...)
	case entryDigest:
		e.digest = f.number
	default:
		return false
	}
	return true
}
