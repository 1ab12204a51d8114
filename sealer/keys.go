package sealer

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"time"

	"example.org/rattanwood"
	"example.org/rattanwood/checker"
)

const (
	// minSecretBytes and maxSecretBytes bound the length of a secret: that of the code's hash, and of its block.
	minSecretBytes, maxSecretBytes = 32, 64
	// maxKeys bounds the keys of a file.
	maxKeys = 8
)

// KeyID names a key. Nodes that share a key know it by the same id.
type KeyID string

// validKeyID leaves out the length: a pattern that counts takes far longer to compile, which delays each start.
var validKeyID = regexp.MustCompile(`^[a-z0-9][a-z0-9-]*$`)

// maxKeyIDLength is the largest length of a key id.
const maxKeyIDLength = 63

// Key is a secret that all balancers of a fleet share.
type Key struct {
	ID     KeyID
	Secret []byte
	// Expires is the time of day from which the key neither signs nor verifies; zero for never.
	Expires time.Time
}

// Expired reports whether the key is no longer to be used.
func (k *Key) Expired(date time.Time) bool { return !k.Expires.IsZero() && !date.Before(k.Expires) }

// KeyFile is the content of a key file.
type KeyFile struct {
	// Keys are ordered: the first that hasn't expired signs, and all others verify too.
	Keys []KeyEntry `json:"keys"`
}

// KeyEntry is one key of a key file.
type KeyEntry struct {
	ID string `json:"id"`
	// Secret is in base64.
	Secret  string     `json:"secret"`
	Expires *time.Time `json:"expires,omitempty"`
}

// ParseKeys decodes the content of a key file, whose name appears in errors. It returns a
// rattanwood.SyntaxError or a rattanwood.FieldError, which never contain a secret.
func ParseKeys(file string, data []byte) ([]Key, error) {
	var f KeyFile
	if err := checker.Decode(file, data, &f); err != nil {
		return nil, err
	}
	fail := func(field, value, allowed string) ([]Key, error) {
		return nil, &rattanwood.FieldError{File: file, Field: field, Value: value, Allowed: allowed}
	}
	if len(f.Keys) < 1 || len(f.Keys) > maxKeys {
		return fail("keys", fmt.Sprintf("with %d keys", len(f.Keys)), fmt.Sprintf("1 to %d keys", maxKeys))
	}
	keys := make([]Key, 0, len(f.Keys))
	seen := map[string]bool{}
	for i, e := range f.Keys {
		field := fmt.Sprintf("keys[%d].", i)
		if len(e.ID) > maxKeyIDLength || !validKeyID.MatchString(e.ID) {
			return fail(field+"id", strconv.Quote(e.ID), "one word of 1 to 63 lower-case letters, digits or hyphens")
		}
		if seen[e.ID] {
			return fail(field+"id", strconv.Quote(e.ID), "an id that no other key has")
		}
		seen[e.ID] = true
		secret, err := base64.StdEncoding.DecodeString(e.Secret)
		if err != nil || len(secret) < minSecretBytes || len(secret) > maxSecretBytes {
			return fail(field+"secret", fmt.Sprintf("of %d characters", len(e.Secret)), fmt.Sprintf("%d to %d bytes in base64", minSecretBytes, maxSecretBytes))
		}
		k := Key{ID: KeyID(e.ID), Secret: secret}
		if e.Expires != nil {
			k.Expires = *e.Expires
		}
		keys = append(keys, k)
	}
	return keys, nil
}

// NewKeyEntry returns an entry for a key file. Expires is zero for never.
func NewKeyEntry(id KeyID, secret []byte, expires time.Time) KeyEntry {
	e := KeyEntry{ID: string(id), Secret: base64.StdEncoding.EncodeToString(secret)}
	if !expires.IsZero() {
		e.Expires = &expires
	}
	return e
}

// Encode returns the content of a file with the keys, if it is valid.
func (f *KeyFile) Encode() ([]byte, error) {
	data, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return nil, &rattanwood.SyntaxError{File: "new key file", Cause: err}
	}
	_, err = ParseKeys("new key file", data)
	return data, err
}

// Signing returns the first key that hasn't expired. It returns a NoKeyError if there is none.
func Signing(keys []Key, date time.Time) (Key, error) {
	for _, k := range keys {
		if !k.Expired(date) {
			return k, nil
		}
	}
	return Key{}, &NoKeyError{Keys: len(keys)}
}

// NoKeyError reports that all keys have expired.
type NoKeyError struct{ Keys int }

// Error returns the number of keys.
func (e *NoKeyError) Error() string { return fmt.Sprintf("all %d keys have expired", e.Keys) }
