package node

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"example.org/rattanwood/internal/logger"
	"example.org/rattanwood/internal/settings"
)

// reloadPeriod is the time between two looks at the settings file, which may change without a signal.
const reloadPeriod = 5 * time.Second

// reloadLoop checks the settings file on SIGHUP and when it has changed. Peers and the level of logs
// are taken over; what needs other sockets waits for the next start. A file that
// is refused leaves the settings in force.
func (n *Node) reloadLoop(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(reloadPeriod)
	defer t.Stop()
	known, err := os.ReadFile(n.cfg.SettingsFile)
	if err != nil {
		n.log.Warn("settings not read", zap.String(logger.KeyError, err.Error()))
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
		case <-t.C:
		}
		data, err := os.ReadFile(n.cfg.SettingsFile)
		if err != nil {
			n.log.Error("settings refused", zap.String(logger.KeyError, err.Error()))
			continue
		}
		if bytes.Equal(data, known) {
			continue
		}
		known = data
		set, err := settings.Parse(n.cfg.SettingsFile, data)
		if err != nil {
			n.log.Error("settings refused", zap.String(logger.KeyError, err.Error()))
			continue
		}
		n.reload(set)
	}
}

func (n *Node) reload(set settings.Settings) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, address := range set.SeedAddresses() {
		if address != n.cfg.Settings.PeerAddress() {
			n.talk.Members.Add(seedName(address), address, "")
		}
	}
	n.log.Info("settings reloaded", zap.Strings("seeds", set.Seeds))
}
