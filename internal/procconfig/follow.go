package procconfig

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"
)

// followEvery is how often the settings file is checked for changes without a signal.
const followEvery = time.Second

// Follow reloads the settings file at path when its content changes, at once on a signal and
// otherwise within a second, and calls changed with every version that passes the checks. A
// version that does not is logged and ignored: the process keeps the settings that it has.
// Follow returns when ctx ends.
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
