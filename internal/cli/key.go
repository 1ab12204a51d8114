package cli

import (
	"crypto/rand"
	"fmt"
	"os"
	"time"

	"github.com/samber/oops"

	"example.org/rattanwood/sealer"
)

// secretBytes is the length of the secrets that keyCommand makes.
const secretBytes = 32

type keyCommand struct {
	ID   string `arg:"" help:"Id of the new key: one word of lower-case letters, digits or hyphens."`
	Days int    `help:"Days until the key expires; 0 for never." default:"0"`
	With string `help:"Key file whose keys go before the new one." type:"existingfile"`
}

// Run prints a key file with a new key at its end.
func (c *keyCommand) Run() error {
	if c.Days < 0 {
		return oops.Code("key_days").Errorf("days must not be negative")
	}
	var f sealer.KeyFile
	if c.With != "" {
		data, err := os.ReadFile(c.With)
		if err != nil {
			return oops.Code("key_file").Wrap(err)
		}
		keys, err := sealer.ParseKeys(c.With, data)
		if err != nil {
			return err
		}
		for _, k := range keys {
			f.Keys = append(f.Keys, sealer.NewKeyEntry(k.ID, k.Secret, k.Expires))
		}
	}
	secret := make([]byte, secretBytes)
	if _, err := rand.Read(secret); err != nil {
		return oops.Code("key_random").Wrap(err)
	}
	var expires time.Time
	if c.Days > 0 {
		expires = time.Now().UTC().AddDate(0, 0, c.Days).Truncate(time.Second)
	}
	f.Keys = append(f.Keys, sealer.NewKeyEntry(sealer.KeyID(c.ID), secret, expires))
	data, err := f.Encode()
	if err != nil {
		return err
	}
	fmt.Printf("%s\n", data)
	return nil
}
