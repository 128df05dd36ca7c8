// Package platform is a read-only client of the platform, which publishes service
// documents and the list of hosts. The protocol is described in docs/PLATFORM.md.
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
	// Key identifies the document: "services/NAME".
	Key string `json:"key"`
	// Revision is the platform's revision at which the version was published.
	Revision uint64 `json:"revision"`
	// Deleted is true when the document was removed.
	Deleted bool `json:"deleted,omitempty"`
	// Value is the document; empty when deleted.
	Value json.RawMessage `json:"value,omitempty"`
}

// Changes is the response to a read or a watch.
type Changes struct {
	// Revision is the platform's newest revision.
	Revision uint64 `json:"revision"`
	// Changes are the newest versions after the requested revision, oldest first.
	Changes []Change `json:"changes"`
}

// HostState is the state of a host as seen by the platform.
type HostState string

const (
	// Live means that the host serves.
	Live HostState = "live"
	// Leaving means that the host will be removed soon.
	Leaving HostState = "leaving"
)

// Host is one entry of the list of hosts.
type Host struct {
	// IP is the host's address.
	IP string `json:"ip"`
	// PeerAddress is the "IP:port" at which its peers reach it; empty if the host runs
	// upstreams and is not an entry host.
	PeerAddress string `json:"peer_address"`
	// FailureDomain is the failure domain of the host.
	FailureDomain string `json:"failure_domain"`
	// State is live or leaving.
	State HostState `json:"state"`
}

// HostList is the platform's list of hosts, which may lag behind the actual state.
type HostList struct {
	// Revision orders lists: a newer list has a higher revision.
	Revision uint64 `json:"revision"`
	// Hosts are the entries.
	Hosts []Host `json:"hosts"`
}

// Client reads from the platform's configuration service. Every call counts against the
// platform's read budget; a waiting watch counts as one read.
type Client struct {
	base string
	http *http.Client
}

// maxResponseBytes bounds one response, in bytes.
const maxResponseBytes = 64 << 20

// NewClient returns a client of the service at base, "http://IP:port".
func NewClient(base string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = httpget.MaxHeadBytes
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// Watch returns the changes after a revision and waits up to wait for one. Errors are
// those of internal/httpget.
func (c *Client) Watch(ctx context.Context, after uint64, wait time.Duration) (*Changes, error) {
	q := url.Values{
		"after": {strconv.FormatUint(after, 10)},
		"wait":  {wait.String()},
	}
	out := new(Changes)
	return out, c.get(ctx, "/v1/config?"+q.Encode(), out)
}

// Hosts returns the list of hosts, which may lag behind the actual state.
func (c *Client) Hosts(ctx context.Context) (*HostList, error) {
	out := new(HostList)
	return out, c.get(ctx, "/v1/hosts", out)
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	return errors.Wrap(httpget.GetJSON(ctx, c.http, c.base+path, maxResponseBytes, out), "platform")
}
