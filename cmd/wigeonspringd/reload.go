package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"wigeonspring.example/wigeonspring/internal/state/settings"
)

// watchReloads reads the settings again on SIGHUP until ctx ends. Only the log
// level can change while the daemon runs; for other changes the log asks for a
// restart.
func watchReloads(ctx context.Context, path string, current *settings.Settings, log *zap.Logger, level zap.AtomicLevel) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			reload(path, current, log, level)
		}
	}
}

// reload applies the log level and names the other settings that differ from those
// of the start.
func reload(path string, current *settings.Settings, log *zap.Logger, level zap.AtomicLevel) {
	next, err := settings.Load(path)
	if err != nil {
		log.Warn("settings not reloaded", zap.Error(err))
		return
	}
	parsed, err := zapcore.ParseLevel(next.Output.LogLevel)
	if err != nil {
		log.Warn("settings not reloaded", zap.Error(err))
		return
	}
	level.SetLevel(parsed)
	log.Info("settings reloaded", zap.Strings("need_restart", settings.ChangedKeys(current, next, "output.log_level")))
}
