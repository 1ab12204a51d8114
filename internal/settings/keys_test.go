package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood/internal/settings"
)

const keyFile = `{"keys": [{"id": "k1", "secret": "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="}]}`

// TestKeyFileMode checks which modes of a key file are allowed.
func TestKeyFileMode(t *testing.T) {
	tests := map[string]struct {
		mode  os.FileMode
		valid bool
	}{
		"owner":                {0o600, true},
		"owner, read only":     {0o400, true},
		"group":                {0o640, true},
		"group writes":         {0o660, false},
		"all read":             {0o644, false},
		"owner may execute it": {0o700, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "keys.json")
			qt.Assert(t, os.WriteFile(file, []byte(keyFile), 0o600), qt.IsNil)
			qt.Assert(t, os.Chmod(file, test.mode), qt.IsNil)
			keys, err := (&settings.Settings{Keys: file}).ReadKeys()
			var mode *settings.KeyFileModeError
			qt.Assert(t, errors.As(err, &mode), qt.Equals, !test.valid)
			qt.Assert(t, len(keys) == 1, qt.Equals, test.valid)
		})
	}
}
