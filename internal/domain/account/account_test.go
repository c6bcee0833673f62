package account

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func digestOf(t *testing.T, key string) KeyDigest {
	digest, isValid := Digest(key)
	require.True(t, isValid)
	return digest
}

func TestFindReturnsTheAccountOfAKey(t *testing.T) {
	directory := NewDirectory([]Account{
		{
			Name: "boats",
			Keys: []KeyDigest{digestOf(t, "k1"), digestOf(t, "k2")},
		},
		{
			Name: "notes",
			Keys: []KeyDigest{digestOf(t, "k3"), digestOf(t, "k2")},
		},
		{
			Name: "no-keys",
		},
	})
	for key, want := range map[string]string{
		"k1":                                 "boats",
		"k2":                                 "boats", // listed by two accounts
		"k3":                                 "notes",
		"K1":                                 "",
		"":                                   "",
		"k4":                                 "",
		strings.Repeat("k", 100_000):         "",
		strings.Repeat("\x00", maxKeyBytes):  "",
		"k1" + strings.Repeat("\x00", 20_00): "",
	} {
		found := directory.Find(key)
		if want == "" {
			require.Nil(t, found, "key %.20q", key)
			continue
		}
		require.NotNil(t, found, "key %.20q", key)
		require.Equal(t, want, string(found.Name))
	}
	require.NotNil(t, directory.Get("no-keys"))
	require.Equal(t, "notes", string(directory.WithSharedKeys()[0]))
}

func TestDirectoryRemembersRemovedKeys(t *testing.T) {
	withKeys := func(keys ...string) Directory {
		listed := Account{
			Name: "boats",
		}
		for _, key := range keys {
			listed.Keys = append(listed.Keys, digestOf(t, key))
		}
		return NewDirectory([]Account{listed})
	}
	first := withKeys("k1", "k2")
	second := withKeys("k2")
	second.Succeed(&first)
	third := withKeys("k1", "k3")
	third.Succeed(&second)
	require.True(t, second.WasRemoved("k1"))
	require.False(t, second.WasRemoved("k2"))
	require.False(t, second.WasRemoved("k3"), "a key that is not known yet was not removed")
	require.False(t, third.WasRemoved("k1"), "a key that is back was not removed")
	require.True(t, third.WasRemoved("k2"))
}

func TestCostCountsTokensOrRequests(t *testing.T) {
	tokens := Limit{
		Unit:        Tokens,
		PlainTokens: 200,
	}
	require.Equal(t, Amount(1540), tokens.Cost(1540))
	require.Equal(t, Amount(200), tokens.Cost(0))
	requests := Limit{
		Unit: Requests,
	}
	require.Equal(t, Amount(1), requests.Cost(1540))
	require.False(t, requests.IsSet())
}

// Guards against a lookup that allocates: it is on the way of every request.
func TestFindDoesNotAllocate(t *testing.T) {
	directory := NewDirectory([]Account{{
		Name: "boats",
		Keys: []KeyDigest{digestOf(t, "asnmgkcuyj8pjbvk9m68")},
	}})
	key := strings.Clone("asnmgkcuyj8pjbvk9m68")
	require.Zero(t, testing.AllocsPerRun(100, func() {
		if directory.Find(key) == nil {
			panic("key not found")
		}
	}))
}

// Guards against weights of limits that can't be compared.
func TestWeightFollowsComparableLimits(t *testing.T) {
	accounts := []Account{
		{
			Name: "a",
			Limit: Limit{
				Unit: Tokens,
				Rate: 300,
			},
		},
		{
			Name: "b",
			Limit: Limit{
				Unit: Tokens,
				Rate: 100,
			},
		},
	}
	directory := NewDirectory(accounts)
	require.InDelta(t, 1.5, directory.Weight(&accounts[0]), 1e-9)
	require.InDelta(t, 0.5, directory.Weight(&accounts[1]), 1e-9)
	require.InDelta(t, 1, directory.Weight(nil), 1e-9)
	for _, other := range []Limit{
		{
			Unit: Requests,
			Rate: 100,
		},
		{
			Unit: Tokens, // no limit
		},
	} {
		accounts[1].Limit = other
		directory = NewDirectory(accounts)
		require.InDelta(t, 1, directory.Weight(&accounts[0]), 1e-9)
		require.InDelta(t, 1, directory.Weight(&accounts[1]), 1e-9)
	}
	directory = NewDirectory(nil)
	require.InDelta(t, 1, directory.Weight(nil), 1e-9)
}

func BenchmarkFind(b *testing.B) {
	digest, _ := Digest("asnmgkcuyj8pjbvk9m68")
	directory := NewDirectory([]Account{{
		Name: "boats",
		Keys: []KeyDigest{digest},
	}})
	b.ReportAllocs()
	for b.Loop() {
		directory.Find("asnmgkcuyj8pjbvk9m68")
	}
}
