// Package account has the client accounts of a configuration: which keys authenticate a
// request, how urgent an account's requests are, and how much it may use.
//
// A Directory finds the account of a key. It has only digests of keys: a key is in memory
// in clear text no longer than the request or the configuration that it came with.
// Directories never change once they are used; many goroutines may use one concurrently.
//
// # Usage
//
//	directory := account.NewDirectory(configuration.Accounts)
//	found := directory.Find(key)
//	if found == nil {
//		// 401
//	}
//	if found.Limit.IsSet() {
//		cost := found.Limit.Cost(promptTokens + maxOutputTokens)
//	}
//
// # Units
//
// Limits and costs are Amounts: tokens or requests, as the account's limit says.
package account

import (
	"crypto/sha256"

	"cicadaloom/internal/domain/ident"
	"cicadaloom/internal/domain/unit"
)

// Account is one client account.
type Account struct {
	Name ident.AccountName
	Keys []KeyDigest
	// Priority ranks the account's requests in place of the route's priority, if HasPriority
	// is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
	Limit       Limit
}

// Unit is what an account's limit counts.
type Unit string

// The units of limits.
const (
	Requests Unit = "Requests"
	Tokens   Unit = "Tokens"
)

// Amount is a number of requests or tokens, in the unit of an account's limit.
type Amount float64

// Limit is how much an account may use over all hosts: Rate a second, and Burst at once on
// top of it.
type Limit struct {
	Unit Unit
	// Rate is an amount a second; 0 for no limit.
	Rate  Amount
	Burst Amount
	// PlainTokens is what a request counts that doesn't say how many tokens it has.
	PlainTokens unit.Tokens
}

// IsSet reports whether there is a limit.
func (l *Limit) IsSet() bool {
	return l.Rate > 0
}

// Cost returns what a request counts that may use a number of tokens, 0 if it didn't say
// how many.
func (l *Limit) Cost(tokens unit.Tokens) Amount {
	if l.Unit != Tokens {
		return 1
	}
	if tokens <= 0 {
		tokens = l.PlainTokens
	}
	return Amount(max(tokens, 1))
}

// KeyDigest is the SHA-256 digest of a key.
type KeyDigest [sha256.Size]byte

// maxKeyBytes bounds the length of a key. A longer one is not hashed, and no key of any
// account.
const maxKeyBytes = 512

// Digest returns the digest of a key. It reports false for a text that can't be a key.
func Digest(key string) (KeyDigest, bool) {
	if key == "" || len(key) > maxKeyBytes {
		return KeyDigest{}, false
	}
	var buffer [maxKeyBytes]byte // on the stack: a conversion would allocate
	return sha256.Sum256(buffer[:copy(buffer[:], key)]), true
}

// Directory finds accounts by key. The zero value has no accounts.
type Directory struct {
	byKey  map[KeyDigest]*Account
	byName map[ident.AccountName]*Account
	shared []ident.AccountName
	// meanRate is the mean rate of all limits, 0 if they are not comparable.
	meanRate Amount
	// removed are keys of earlier configurations that no account has any more.
	removed map[KeyDigest]struct{}
}

// NewDirectory returns the directory of a configuration's accounts, which must not change
// afterwards. A key in two accounts belongs to the first of them.
func NewDirectory(accounts []Account) Directory {
	d := Directory{
		byKey:  make(map[KeyDigest]*Account),
		byName: make(map[ident.AccountName]*Account, len(accounts)),
	}
	for i := range accounts {
		listed := &accounts[i]
		d.byName[listed.Name] = listed
		for _, digest := range listed.Keys {
			if owner, taken := d.byKey[digest]; taken && owner != listed {
				d.shared = append(d.shared, listed.Name)
				continue
			}
			d.byKey[digest] = listed
		}
	}
	d.meanRate = meanRate(accounts)
	return d
}

// meanRate returns the mean rate of the accounts' limits, 0 unless all have one in the same unit.
func meanRate(accounts []Account) Amount {
	sum := Amount(0)
	for i := range accounts {
		if !accounts[i].Limit.IsSet() || accounts[i].Limit.Unit != accounts[0].Limit.Unit {
			return 0
		}
		sum += accounts[i].Limit.Rate
	}
	return sum / Amount(max(len(accounts), 1))
}

// Weight returns the weight of an account's share of a resource that the accounts compete for, 1
// on average. Accounts share in proportion to the rates of their limits, or equally if these are
// not comparable. All clients without an account, for whom it is nil, have a share of 1.
func (d *Directory) Weight(of *Account) float64 {
	if of == nil || d.meanRate == 0 {
		return 1
	}
	return float64(of.Limit.Rate / d.meanRate)
}

// maxRemovedKeys bounds the keys that are remembered as removed.
const maxRemovedKeys = 10_000

// Succeed remembers which keys of an earlier configuration have been removed. It must be
// called before the directory is used.
func (d *Directory) Succeed(earlier *Directory) {
	d.removed = make(map[KeyDigest]struct{})
	for digest := range earlier.byKey {
		d.noteRemoved(digest)
	}
	for digest := range earlier.removed {
		d.noteRemoved(digest)
	}
}

func (d *Directory) noteRemoved(digest KeyDigest) {
	if _, isKept := d.byKey[digest]; !isKept && len(d.removed) < maxRemovedKeys {
		d.removed[digest] = struct{}{}
	}
}

// WasRemoved reports whether a key belonged to an account in an earlier configuration, and
// to none in this one.
func (d *Directory) WasRemoved(key string) bool {
	digest, isValid := Digest(key)
	if !isValid {
		return false
	}
	_, isRemoved := d.removed[digest]
	return isRemoved
}

// IsEmpty reports whether there are no accounts: requests need no key then.
func (d *Directory) IsEmpty() bool {
	return len(d.byName) == 0
}

// Find returns the account that a key belongs to, or nil.
func (d *Directory) Find(key string) *Account {
	digest, isValid := Digest(key)
	if !isValid {
		return nil
	}
	return d.byKey[digest]
}

// Get returns the account with a name, or nil.
func (d *Directory) Get(name ident.AccountName) *Account {
	return d.byName[name]
}

// WithSharedKeys returns the accounts that list a key of an earlier account.
func (d *Directory) WithSharedKeys() []ident.AccountName {
	return d.shared
}
