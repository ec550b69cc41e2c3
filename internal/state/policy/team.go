package policy

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"fmt"
	"math"
)

// MaxKeyBytes is the length of the longest key of a team.
const MaxKeyBytes = 512

// FleetTeam is a team of callers. If a fleet document has teams, the requests on all routes
// that are not public need the key of one.
type FleetTeam struct {
	Name string `json:"name"`
	// Keys are the digests of the keys. The document does not contain the keys themselves,
	// because it is stored in the memory of every node and is sent between nodes.
	Keys []KeyDigest `json:"keys"`
	// Rank replaces the rank of the routes for the requests of the team; nil keeps it.
	Rank *int `json:"rank,omitempty"`
	// RatePerSecond and Burst are the quota of the team, in requests over all nodes; a rate
	// of 0 means no limit.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
}

// KeyDigest is the SHA-256 digest of a key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// MarshalText encodes the digest in unpadded base64.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return base64.RawStdEncoding.AppendEncode(nil, d[:]), nil
}

// UnmarshalText decodes what MarshalText encodes.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if base64.RawStdEncoding.DecodedLen(len(text)) != len(d) {
		return errors.New("key digest has the wrong length")
	}
	// The error of base64 contains a part of the input.
	if _, err := base64.RawStdEncoding.Decode(d[:], text); err != nil {
		return errors.New("key digest is not base64")
	}
	return nil
}

// Team is a team of a fleet document in force. It must not be changed.
type Team struct {
	Name          string
	Rank          *int
	RatePerSecond float64
	Burst         float64
}

// Teams finds the team that holds a key.
type Teams struct {
	byKey map[KeyDigest]*Team
	all   []*Team
}

// Authenticate returns the team that holds a key. The time that it takes does not depend on
// how much of the key is right, because keys are compared by their digests.
func (t *Teams) Authenticate(key string) (*Team, bool) {
	if key == "" || len(key) > MaxKeyBytes {
		return nil, false
	}
	digest := DigestKey(key)
	team := t.byKey[digest]
	return team, team != nil
}

// All returns the teams in the order of the document. The result must not be changed.
func (t *Teams) All() []*Team { return t.all }

// newTeams returns the teams of a valid document, or nil if it has none.
func newTeams(teams []FleetTeam) *Teams {
	if len(teams) == 0 {
		return nil
	}
	t := &Teams{byKey: make(map[KeyDigest]*Team)}
	for i := range teams {
		f := &teams[i]
		team := &Team{Name: f.Name, Rank: f.Rank, RatePerSecond: f.RatePerSecond, Burst: f.Burst}
		t.all = append(t.all, team)
		for _, key := range f.Keys {
			t.byKey[key] = team
		}
	}
	return t
}

// validateTeams reports the problems of the teams of a document. It names keys by their
// position.
func validateTeams(teams []FleetTeam) []error {
	var problems []error
	add := func(format string, args ...any) { problems = append(problems, fmt.Errorf(format, args...)) }
	empty := DigestKey("")
	names := map[string]bool{}
	holders := map[KeyDigest]string{}
	for i := range teams {
		t := &teams[i]
		if t.Name == "" || names[t.Name] {
			add("team %d %q: name is empty or not unique", i, t.Name)
		}
		names[t.Name] = true
		for k, key := range t.Keys {
			if subtle.ConstantTimeCompare(key[:], empty[:]) == 1 {
				add("team %q: key %d is empty", t.Name, k)
			}
			if holder, held := holders[key]; held {
				add("team %q: key %d is also a key of team %q", t.Name, k, holder)
			}
			holders[key] = t.Name
		}
		if t.Rank != nil && *t.Rank < 0 {
			add("team %q: negative rank", t.Name)
		}
		for name, v := range map[string]float64{"rate_per_second": t.RatePerSecond, "burst": t.Burst} {
			if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
				add("team %q: %s must be a finite number of at least 0", t.Name, name)
			}
		}
	}
	return problems
}
