package loadgen

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// usage is what a process has used since its start.
type usage struct {
	cpu     time.Duration
	Objects int64 `json:"process.allocated.objects"`
	Bytes   int64 `json:"process.allocated.bytes"`
}

// usageTimeout bounds reading the metrics.
const usageTimeout = 2 * time.Second

func usageOf(way Through) (usage, error) {
	var u usage
	if way.Admin != "" {
		client := &http.Client{Timeout: usageTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + way.Admin + "/metrics?format=json")
		if err != nil {
			return u, errors.Wrap(err, "metrics of the entry host")
		}
		defer func() { _ = resp.Body.Close() }()
		if err := json.NewDecoder(resp.Body).Decode(&u); err != nil {
			return u, errors.Wrap(err, "metrics of the entry host")
		}
	}
	cpu, err := cpuTime(way.PID)
	u.cpu = cpu
	return u, err
}
