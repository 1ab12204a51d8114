package settings

import (
	"fmt"
	"os"

	"example.org/rattanwood"
	"example.org/rattanwood/sealer"
)

// maxKeyFileMode has the permissions that a key file may have at most.
const maxKeyFileMode os.FileMode = 0o640

// ReadKeys reads and validates the key file. It returns nil if the settings name none. Keys may have expired.
func (s *Settings) ReadKeys() ([]sealer.Key, error) {
	if s.Keys == "" {
		return nil, nil
	}
	info, err := os.Stat(s.Keys)
	if err != nil {
		return nil, &rattanwood.SyntaxError{File: s.Keys, Cause: err}
	}
	if mode := info.Mode(); !mode.IsRegular() || mode.Perm()&^maxKeyFileMode != 0 {
		return nil, &KeyFileModeError{File: s.Keys, Mode: mode}
	}
	data, err := os.ReadFile(s.Keys)
	if err != nil {
		return nil, &rattanwood.SyntaxError{File: s.Keys, Cause: err}
	}
	return sealer.ParseKeys(s.Keys, data)
}

// KeyFileModeError reports a key file that isn't a regular file, or that too many users may read or write.
type KeyFileModeError struct {
	File string
	Mode os.FileMode
}

// Error returns the file and its mode.
func (e *KeyFileModeError) Error() string {
	return fmt.Sprintf("%s: mode %v is not allowed: want a regular file with mode %v or less", e.File, e.Mode, maxKeyFileMode)
}
