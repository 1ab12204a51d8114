package cli_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood/internal/cli"
	"example.org/rattanwood/sealer"
)

// TestCheckKeys checks the exit status of "rattanwood check" for the key files that settings can name.
func TestCheckKeys(t *testing.T) {
	key := func(id sealer.KeyID, expires time.Time) sealer.KeyEntry {
		return sealer.NewKeyEntry(id, []byte(strings.Repeat("a", 32)), expires)
	}
	expired := time.Now().Add(-time.Hour)
	tests := map[string]struct {
		keys []sealer.KeyEntry
		mode os.FileMode
		want int
	}{
		"valid":              {[]sealer.KeyEntry{key("k1", time.Time{})}, 0o640, 0},
		"one of two expired": {[]sealer.KeyEntry{key("k1", expired), key("k2", time.Time{})}, 0o600, 0},
		"all expired":        {[]sealer.KeyEntry{key("k1", expired), key("k2", expired)}, 0o600, 1},
		"readable for all":   {[]sealer.KeyEntry{key("k1", time.Time{})}, 0o644, 1},
		"file doesn't exist": {nil, 0, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			keys, set := filepath.Join(c.TempDir(), "keys.json"), filepath.Join(c.TempDir(), "settings.json")
			if test.keys != nil {
				data, err := (&sealer.KeyFile{Keys: test.keys}).Encode()
				c.Assert(err, qt.IsNil)
				c.Assert(os.WriteFile(keys, data, 0o600), qt.IsNil)
				c.Assert(os.Chmod(keys, test.mode), qt.IsNil)
			}
			content := fmt.Sprintf(`{"vm": "a", "centre": "east", "address": "127.0.0.1", "platform": "127.0.0.1:1", "affinity": "tag", "keys": %q}`, keys)
			c.Assert(os.WriteFile(set, []byte(content), 0o600), qt.IsNil)
			c.Assert(cli.Balancer([]string{"check", set}), qt.Equals, test.want)
		})
	}
}
