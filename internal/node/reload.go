package node

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"example.org/rattanwood/internal/logger"
	"example.org/rattanwood/internal/settings"
)

// reloadPeriod is the interval at which the settings file is checked for changes made without a signal.
const reloadPeriod = 5 * time.Second

// reloadLoop reloads the settings file and the key file when they have changed, which it checks periodically and
// on a signal. Only the source's address, new bootstrap addresses (seeds) and keys are applied; all other changes need
// a restart. An invalid file is ignored.
func (n *Node) reloadLoop(ctx context.Context) error {
	t := time.NewTicker(reloadPeriod)
	defer t.Stop()
	known, err := os.ReadFile(n.cfg.SettingsFile)
	if err != nil {
		n.log.Warn("settings file could not be read at start", zap.String(logger.KeyError, err.Error()))
	}
	current := n.cfg.Settings
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.cfg.Reload:
		case <-t.C:
		}
		known = n.reloadSettings(known, &current)
		n.reloadKeys(&current)
	}
}

// reloadSettings reads the settings file. If it differs from the known content and is valid, current gets the new
// settings, which are applied. It returns the content that is known now.
func (n *Node) reloadSettings(known []byte, current *settings.Settings) []byte {
	data, err := os.ReadFile(n.cfg.SettingsFile)
	if err != nil {
		n.log.Error("settings file could not be read, keeping the current settings", zap.String(logger.KeyError, err.Error()))
		return known
	}
	if bytes.Equal(data, known) {
		return known
	}
	set, err := settings.Parse(n.cfg.SettingsFile, data)
	if err != nil {
		n.log.Error("invalid settings file, keeping the current settings", zap.String(logger.KeyError, err.Error()))
		return data
	}
	n.reload(current, set)
	return data
}

// reload applies new settings and makes them the current ones. A call of the source that waits ends by itself.
func (n *Node) reload(current *settings.Settings, set settings.Settings) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if set.Platform != current.Platform {
		n.source = n.cfg.OpenSource(set.Platform)
	}
	n.addBootstrap(set)
	*current = set
	n.log.Info("settings reloaded", zap.Strings("seeds", set.Seeds), zap.String("source", set.Platform))
}
