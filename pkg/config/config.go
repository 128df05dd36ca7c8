// Package config defines the configuration that operators publish: one document
// per service, with its groups of upstreams and its routing rules.
//
// Parse decodes and validates a document once. Code that holds a *Service may
// rely on every field being in range. Versions of documents are ordered by the
// platform's revision, which is not part of this package.
package config

import (
	"encoding/json"
	"time"
)

// MaxDocumentBytes is the maximum size of a document on the platform, in bytes.
const MaxDocumentBytes = 1 << 20

// MaxUnservedBytes is the maximum length of Service.Unserved, in bytes.
const MaxUnservedBytes = 1024

// Duration is a time.Duration that is encoded as text in JSON, such as "250ms".
type Duration time.Duration

// MarshalJSON encodes d in the format of time.Duration.String.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes the format of time.ParseDuration.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Repeat states whether a request may be sent to an upstream more than once.
type Repeat string

const (
	// Repeatable requests may be retried and hedged.
	Repeatable Repeat = "repeatable"
	// NonRepeatable requests are executed at most once, under any failure.
	NonRepeatable Repeat = "non-repeatable"
)

// Hedge selects the hedging delay when the rule does not set one.
type Hedge string

const (
	// HedgeOverdue is the default. A hedge is sent when the response is overdue
	// according to the estimate of the group's balancer policy.
	HedgeOverdue Hedge = "overdue"
	// HedgeOff disables hedging.
	HedgeOff Hedge = "off"
)

// Priority is the order in which requests are served when an upstream group is
// short of slots.
type Priority string

const (
	// PriorityHigh is for interactive requests.
	PriorityHigh Priority = "high"
	// PriorityNormal is the default.
	PriorityNormal Priority = "normal"
	// PriorityLow is for batch work, which is shed first.
	PriorityLow Priority = "low"
)

// Execution selects how a non-repeatable request is protected against duplicate
// execution.
type Execution string

const (
	// ExecutionTicket requires a ticket, which protects callers that repeat a
	// request. Default.
	ExecutionTicket Execution = "ticket"
	// ExecutionDirect sends each arriving request once. A request that the caller
	// repeats is a new request.
	ExecutionDirect Execution = "direct"
)

// UpstreamState is the desired state of an upstream, as set by the operator.
type UpstreamState string

const (
	// Active upstreams accept new requests.
	Active UpstreamState = "active"
	// Draining upstreams accept no new requests and finish those in flight.
	Draining UpstreamState = "draining"
)

// Service is one published document.
type Service struct {
	// Name identifies the service, in 1 to MaxNameBytes bytes of printable text. In a service
	// document it consists of lower-case letters, digits and dashes.
	Name string `json:"name"`
	// Match selects the requests of this service.
	Match Match `json:"match"`
	// Groups are the sets of upstreams that rules refer to.
	Groups []Group `json:"groups"`
	// Rules are tried in order; the first that matches applies.
	Rules []Rule `json:"rules"`
	// Public services accept requests without a customer's key where keys are
	// required.
	Public bool `json:"public,omitempty"`
	// Unserved is the reason why entry hosts refuse all requests of this service.
	// Groups and Rules are then empty. Default: empty, the service is served.
	Unserved string `json:"unserved,omitempty"`
}

// Match selects requests by host and path.
type Match struct {
	// Host is the exact Host header, with or without its port; empty matches any host.
	Host string `json:"host,omitempty"`
	// PathPrefix is the path prefix. The longest match over all services wins.
	PathPrefix string `json:"path_prefix"`
	// PathUnknown is set on an unserved service whose path prefix can't be read. It matches
	// every path of its host, before all other services: any request to the host may be one
	// of its own. Default: false.
	PathUnknown bool `json:"path_unknown,omitempty"`
}

// Group is a set of equivalent upstreams.
type Group struct {
	// Name identifies the group within its service.
	Name string `json:"name"`
	// Policy names the balancer policy. Default: "probe-first" if Registered is set,
	// else "spindle".
	Policy string `json:"policy,omitempty"`
	// Upstreams are the members.
	Upstreams []Upstream `json:"upstreams"`
	// Registered names the service under which the members register themselves;
	// Upstreams is then empty. Groups of one registered service share the entry
	// host's records of its upstreams. Default: empty, Upstreams are the members.
	Registered string `json:"registered,omitempty"`
	// HealthPath is the path at which a registered upstream reports its load.
	// Default: empty, the load is not queried.
	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections bounds the connections to each registered upstream over all
	// entry hosts. Default: 200.
	MaxConnections int `json:"max_connections,omitempty"`
	// ColdRate is the number of requests a second, over all entry hosts, that a
	// registered upstream tolerates while it is cold: after a start, or when it
	// reports so. Default: 0, no bound.
	ColdRate float64 `json:"cold_rate,omitempty"`
	// TLS configures TLS to the members.
	TLS TLS `json:"tls,omitzero"`
	// Probe is the probe budget.
	Probe ProbeBudget `json:"probe,omitempty"`
	// SlowStart is the time over which a new upstream's share of the requests rises
	// to its full value. Default: 0, off.
	SlowStart Duration `json:"slow_start,omitempty"`
	// Queue bounds the requests that are queued for a slot on one entry host.
	Queue Queue `json:"queue,omitempty"`
}

// Upstream is one server.
type Upstream struct {
	// ID identifies the upstream over its whole lifetime. It is never reused.
	ID string `json:"id"`
	// Address is "IP:port".
	Address string `json:"address"`
	// FailureDomain is where the upstream runs.
	FailureDomain string `json:"failure_domain"`
	// Slots is the number of requests that it serves concurrently. Default: 3.
	Slots int `json:"slots,omitempty"`
	// MaxConnections bounds the connections to it over all entry hosts. Default: 200.
	MaxConnections int `json:"max_connections,omitempty"`
	// State is active or draining. Default: active.
	State UpstreamState `json:"state,omitempty"`
	// Activation counts how often the operator has reactivated this upstream after
	// it had left on its own. Raise it by one to reactivate the upstream. Default: 0.
	Activation uint64 `json:"activation,omitempty"`
}

// TLS configures TLS to the upstreams of a group. Requests are never sent
// unencrypted to a group that enables TLS.
type TLS struct {
	// Enabled enables TLS. Default: false, plain HTTP.
	Enabled bool `json:"enabled,omitempty"`
	// ServerName is the DNS name in the upstreams' certificates. Default: the entry
	// host's setting, or else the upstream's IP.
	ServerName string `json:"server_name,omitempty"`
}

// ProbeBudget bounds the work that probes cause at one upstream, over the fleet.
type ProbeBudget struct {
	// SlotTimePercent is the largest share of an upstream's slot time that probes
	// may take, in percent. Default: 0, no probes.
	SlotTimePercent float64 `json:"slot_time_percent,omitempty"`
	// Cost is the slot time of one probe. Default: 6ms.
	Cost Duration `json:"cost,omitempty"`
}

// Queue configures the queue of a group on one entry host.
type Queue struct {
	// MaxWaiting is the maximum number of queued requests. Default: 64.
	MaxWaiting int `json:"max_waiting,omitempty"`
}

// Rule configures how matching requests are handled.
type Rule struct {
	// Name identifies the rule within its service.
	Name string `json:"name"`
	// Methods are the HTTP methods; empty matches all.
	Methods []string `json:"methods,omitempty"`
	// PathPrefix is matched against the whole path, including the prefix of the
	// service's Match; empty matches all.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Group names the upstream group; empty if Split is set.
	Group string `json:"group,omitempty"`
	// Split distributes the requests over several groups by weight.
	Split []Share `json:"split,omitempty"`
	// Repeat states whether the request may be sent more than once. Required.
	Repeat Repeat `json:"repeat"`
	// Execution applies to non-repeatable requests. Default: ticket; direct in a
	// service whose upstreams register themselves.
	Execution Execution `json:"execution,omitempty"`
	// Deadline bounds the whole request if the caller sends no deadline. Default: 1s.
	Deadline Duration `json:"deadline,omitempty"`
	// TargetLatency is the latency up to which a response has its full value for
	// the caller. Default: 0, no target.
	TargetLatency Duration `json:"target_latency,omitempty"`
	// Priority orders requests under overload. Default: normal.
	Priority Priority `json:"priority,omitempty"`
	// Retry applies to repeatable requests. For a non-repeatable rule only
	// MaxAttempts applies, to attempts that certainly were not executed.
	Retry Retry `json:"retry,omitempty"`
}

// Share is one group's share of a rule's requests.
type Share struct {
	// Group names the upstream group.
	Group string `json:"group"`
	// Weight is relative to the weights of the other shares; at least 1.
	Weight int `json:"weight"`
}

// Shares returns the groups of the rule with their weights.
func (r *Rule) Shares() []Share {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []Share{{Group: r.Group, Weight: 1}}
}

// Retry configures retries and hedges of repeatable requests.
type Retry struct {
	// MaxAttempts bounds the attempts, including the first. Default: 2.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// BudgetPercent bounds retries and hedges, as a percentage of first attempts.
	// Default: 10.
	BudgetPercent float64 `json:"budget_percent,omitempty"`
	// Hedge applies if HedgeAfter and HedgePercentile are 0. Default: overdue.
	Hedge Hedge `json:"hedge,omitempty"`
	// HedgeAfter is the time without a response after which a hedge is sent.
	// Default: 0, as set by Hedge.
	HedgeAfter Duration `json:"hedge_after,omitempty"`
	// HedgePercentile sends a hedge when the first attempt has taken longer than
	// this percentile of recent latencies, and longer than HedgeAfter.
	// Default: 0, as set by Hedge.
	HedgePercentile float64 `json:"hedge_percentile,omitempty"`
}
