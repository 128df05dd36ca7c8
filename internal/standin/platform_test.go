package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/dapplespindle/dapplespindle/internal/httpget"
	"github.com/dapplespindle/dapplespindle/internal/platform"
)

func TestFaults(t *testing.T) {
	is := is.New(t)
	p := NewPlatform()
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	client := platform.NewClient(server.URL)
	ctx := context.Background()
	p.Publish("services/a", []byte(`1`))
	p.Publish("services/a", []byte(`2`))
	p.Publish("services/b", nil)

	got, err := client.Watch(ctx, 0, time.Second)
	is.NoErr(err)
	is.Equal(got.Revision, uint64(3))
	is.Equal(len(got.Changes), 2) // the newest change of each key, including deletions
	is.True(got.Changes[1].Deleted)

	put(t, server.URL, `{"stale":true,"stale_at":1}`)
	got, err = client.Watch(ctx, 0, 0)
	is.NoErr(err)
	is.Equal(got.Revision, uint64(1))
	is.Equal(string(got.Changes[0].Value), "1")

	put(t, server.URL, `{"lag":"1h"}`)
	got, err = client.Watch(ctx, 0, 0)
	is.NoErr(err)
	is.Equal(got.Revision, uint64(0))

	is.Equal(status(client), 0)
	put(t, server.URL, `{"down":true}`)
	is.Equal(status(client), http.StatusServiceUnavailable)
	reads := p.Reads()
	put(t, server.URL, `{"max_reads_per_second":1}`)
	for range 20 {
		if status(client) == http.StatusTooManyRequests {
			is.True(p.Reads() > reads) // rejected reads are counted
			return
		}
	}
	t.Fatal("no read was rejected above max_reads_per_second")
}

func put(t *testing.T, base, faults string) {
	req, err := http.NewRequest(http.MethodPut, base+"/v1/faults", strings.NewReader(faults))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != http.StatusNoContent {
		t.Fatal(err, resp)
	}
	_ = resp.Body.Close()
}

// status returns the HTTP status of a rejected read, or 0.
func status(c *platform.Client) int {
	_, err := c.Watch(context.Background(), 0, 0)
	var refused *httpget.StatusError
	if errors.As(err, &refused) {
		return refused.Code
	}
	return 0
}
