package settings

import (
	"context"
	"os"
	"time"
)

// filePollInterval is how often a settings file is checked for changes without a signal.
const filePollInterval = 2 * time.Second

// WatchFile calls changed after each signal, and when the modification time or size of
// the file at path has changed, until ctx ends.
func WatchFile(ctx context.Context, path string, signals <-chan os.Signal, changed func()) {
	ticker := time.NewTicker(filePollInterval)
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

// fileStamp identifies a version of a file.
type fileStamp struct {
	modified time.Time
	size     int64
}

// stampOf returns the zero value for a file that cannot be accessed; reading the file then
// reports the reason.
func stampOf(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.ModTime(), info.Size()}
}
