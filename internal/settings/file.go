package settings

import (
	"context"
	"os"
	"time"
)

// fileEvery is how often a settings file is looked at for a change that came
// without a signal.
const fileEvery = 2 * time.Second

// WatchFile calls changed after each signal, and when the file at path has
// another time or size than before, until ctx ends.
func WatchFile(ctx context.Context, path string, signals <-chan os.Signal, changed func()) {
	ticker := time.NewTicker(fileEvery)
	defer ticker.Stop()
	last := stampOf(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			last = stampOf(path)
			changed()
		case <-ticker.C:
			if now := stampOf(path); now != last {
				last = now
				changed()
			}
		}
	}
}

// stamp tells two states of a file apart.
type stamp struct {
	modified time.Time
	size     int64
}

// stampOf returns the zero stamp for a file that can't be read; reading it then
// reports why.
func stampOf(path string) stamp {
	info, err := os.Stat(path)
	if err != nil {
		return stamp{}
	}
	return stamp{info.ModTime(), info.Size()}
}
