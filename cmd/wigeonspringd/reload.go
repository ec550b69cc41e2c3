package main

import (
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"wigeonspring.example/wigeonspring/internal/state/settings"
)

// reloadOnSIGHUP reloads the settings at each hangup for as long as the process runs: while
// the node drains, a SIGHUP that is not handled would end it. Only the log level can change
// while the daemon runs. Changes of other settings are logged as needing a restart.
func reloadOnSIGHUP(hangups <-chan os.Signal, path string, current *settings.Settings, log *zap.Logger, level zap.AtomicLevel) {
	for range hangups {
		reload(path, current, log, level)
	}
}

// reload applies the log level. It logs the keys of all other settings that differ from
// those at the start of the daemon.
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
	for _, w := range next.Warnings() {
		log.Warn(w)
	}
	log.Info("settings reloaded", zap.Strings("need_restart", settings.ChangedKeys(current, next, "output.log_level")))
}
