package loadgen

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// processUsage is the resource usage of a process since its start.
type processUsage struct {
	cpu     time.Duration
	Objects int64 `json:"process.allocated.objects"`
	Bytes   int64 `json:"process.allocated.bytes"`
}

// metricsTimeout bounds the request for metrics.
const metricsTimeout = 2 * time.Second

func readUsage(host EntryHost) (processUsage, error) {
	var u processUsage
	if host.AdminAddress != "" {
		client := &http.Client{Timeout: metricsTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + host.AdminAddress + "/metrics?format=json")
		if err != nil {
			return u, errors.Wrap(err, "metrics of the entry host")
		}
		defer func() { _ = resp.Body.Close() }()
		if err := json.NewDecoder(resp.Body).Decode(&u); err != nil {
			return u, errors.Wrap(err, "metrics of the entry host")
		}
	}
	cpu, err := readCPUTime(host.PID)
	u.cpu = cpu
	return u, err
}
