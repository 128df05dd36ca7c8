// Package platform reads what the platform publishes: service documents and
// the list of entry hosts. Nothing is ever written. The protocol is described
// in docs/PLATFORM.md.
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/internal/httpget"
)

// Change is one published version of one document.
type Change struct {
	// Key names the document: "services/NAME".
	Key string `json:"key"`
	// Revision is the platform's revision at which the version was published.
	Revision uint64 `json:"revision"`
	// Deleted is true when the document was removed.
	Deleted bool `json:"deleted,omitempty"`
	// Value is the document; empty when deleted.
	Value json.RawMessage `json:"value,omitempty"`
}

// Changes is the answer to a read or a watch.
type Changes struct {
	// Revision is the platform's newest revision.
	Revision uint64 `json:"revision"`
	// Changes are the newest versions after the revision asked for, oldest first.
	Changes []Change `json:"changes"`
}

// HostState is the platform's view of an entry host.
type HostState string

const (
	// Live hosts serve.
	Live HostState = "live"
	// Leaving hosts are about to go.
	Leaving HostState = "leaving"
)

// Host is one entry of the lagging list of hosts.
type Host struct {
	// IP is the host's address.
	IP string `json:"ip"`
	// PeerAddress is where its peers reach it, "IP:port"; empty if the host is not
	// an entry host but one of upstreams.
	PeerAddress string `json:"peer_address"`
	// FailureDomain is where it runs.
	FailureDomain string `json:"failure_domain"`
	// State is live or leaving.
	State HostState `json:"state"`
}

// HostList is the lagging list of entry hosts.
type HostList struct {
	// Revision orders lists.
	Revision uint64 `json:"revision"`
	// Hosts are the entries.
	Hosts []Host `json:"hosts"`
}

// Client reads the configuration service. Every call counts against the
// platform's budget of reads; a waiting watch counts as one.
type Client struct {
	base string
	http *http.Client
}

// maxAnswerBytes bounds one answer, in bytes.
const maxAnswerBytes = 64 << 20

// NewClient returns a client of the service at base, "http://IP:port".
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{}}
}

// Watch returns the changes after revision, waiting up to wait for one. The
// error is one of internal/httpget.
func (c *Client) Watch(ctx context.Context, after uint64, wait time.Duration) (*Changes, error) {
	q := url.Values{
		"after": {strconv.FormatUint(after, 10)},
		"wait":  {wait.String()},
	}
	out := new(Changes)
	return out, c.get(ctx, "/v1/config?"+q.Encode(), out)
}

// Hosts returns the lagging list of entry hosts.
func (c *Client) Hosts(ctx context.Context) (*HostList, error) {
	out := new(HostList)
	return out, c.get(ctx, "/v1/hosts", out)
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	return errors.Wrap(httpget.GetJSON(ctx, c.http, c.base+path, maxAnswerBytes, out), "platform")
}
