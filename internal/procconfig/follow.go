package procconfig

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"
)

// followEvery is how often a settings file is looked at that may change without a signal.
const followEvery = time.Second

// Follow reads the settings file at path again whenever its content changes, at once on
// each signal and else within a second, and hands every version that passes its checks
// to changed. One that does not is logged and left alone: a process goes on with the
// settings that it has. It returns when ctx ends.
func Follow(ctx context.Context, path string, signals <-chan os.Signal, log zerolog.Logger, changed func(*Config)) {
	ticker := time.NewTicker(followEvery)
	defer ticker.Stop()
	last, err := os.ReadFile(path)
	if err != nil {
		log.Error().Str("event", "settings-file-unreadable").Str("path", path).Err(err).Send()
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		now, err := os.ReadFile(path)
		if err != nil {
			log.Error().Str("event", "settings-file-unreadable").Str("path", path).Err(err).Send()
			continue
		}
		if bytes.Equal(now, last) {
			if signalled {
				log.Info().Str("event", "settings-file-unchanged").Send()
			}
			continue
		}
		last = now
		cfg, err := Decode(now)
		if err != nil {
			log.Error().Str("event", "settings-file-refused").Err(err).Send()
			continue
		}
		log.Info().Str("event", "settings-file-read").Strs("seeds", cfg.Seeds).Send()
		changed(cfg)
	}
}
