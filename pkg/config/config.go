// Package config is the typed model of what operators publish: one document
// per service with its groups of upstreams and its rules.
//
// A document is decoded and validated once, by Parse. Code that holds a
// *Service may rely on every field being in range. The platform orders
// documents by revision; this package knows nothing about order.
package config

import (
	"encoding/json"
	"time"
)

// MaxDocumentBytes is the largest document the platform holds, in bytes.
const MaxDocumentBytes = 1 << 20

// MaxUnservedBytes is the longest reason why a service is not served, in bytes.
const MaxUnservedBytes = 1024

// Duration is a time.Duration written as text in JSON, such as "250ms".
type Duration time.Duration

// MarshalJSON writes d in the syntax of time.Duration.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads the syntax of time.ParseDuration.
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
	// NonRepeatable requests run at most once, whatever fails.
	NonRepeatable Repeat = "non-repeatable"
)

// Hedge states where the delay of a hedge comes from when the rule sets none.
type Hedge string

const (
	// HedgeOverdue is the default: a second attempt starts when the answer is
	// overdue, as the group's policy sees it.
	HedgeOverdue Hedge = "overdue"
	// HedgeOff sends no second attempt while the first is in flight.
	HedgeOff Hedge = "off"
)

// Priority orders requests when an upstream group is short of slots.
type Priority string

const (
	// PriorityHigh is for requests that a person waits for.
	PriorityHigh Priority = "high"
	// PriorityNormal is the default.
	PriorityNormal Priority = "normal"
	// PriorityLow is for batch work, shed first.
	PriorityLow Priority = "low"
)

// Execution states how a non-repeatable request is kept single.
type Execution string

const (
	// ExecutionTicket asks for a ticket, which protects callers who ask again. Default.
	ExecutionTicket Execution = "ticket"
	// ExecutionDirect sends what arrives once; a caller who asks again sends anew.
	ExecutionDirect Execution = "direct"
)

// UpstreamState is the operator's wish for an upstream.
type UpstreamState string

const (
	// Active upstreams take new requests.
	Active UpstreamState = "active"
	// Draining upstreams take no new requests and finish those in flight.
	Draining UpstreamState = "draining"
)

// Service is one published document.
type Service struct {
	// Name identifies the service; lower-case letters, digits and dashes.
	Name string `json:"name"`
	// Match selects the requests of this service.
	Match Match `json:"match"`
	// Groups are the sets of upstreams that rules refer to.
	Groups []Group `json:"groups"`
	// Rules are tried in order; the first that matches applies.
	Rules []Rule `json:"rules"`
	// Public services take requests without a customer's key, where keys are asked for.
	Public bool `json:"public,omitempty"`
	// Unserved says why entry hosts refuse the requests of this service, all of them;
	// Groups and Rules are then empty. Default: empty, the service is served.
	Unserved string `json:"unserved,omitempty"`
}

// Match selects requests by host and path.
type Match struct {
	// Host is the exact Host header without port; empty matches any host.
	Host string `json:"host,omitempty"`
	// PathPrefix is the path prefix; the longest match over all services wins.
	PathPrefix string `json:"path_prefix"`
}

// Group is a set of equivalent upstreams.
type Group struct {
	// Name identifies the group within its service.
	Name string `json:"name"`
	// Policy names the balancer policy. Default: "spindle"; "probe-first" where the
	// members register themselves.
	Policy string `json:"policy,omitempty"`
	// Upstreams are the members.
	Upstreams []Upstream `json:"upstreams"`
	// Registered names the service under which the members register themselves;
	// Upstreams is then empty. Groups of one registered service share what the
	// entry host knows of its upstreams. Default: empty, Upstreams are the members.
	Registered string `json:"registered,omitempty"`
	// HealthPath is the path at which a registered upstream reports its load.
	// Default: empty, it is not asked.
	HealthPath string `json:"health_path,omitempty"`
	// MaxConnections is the bound for each registered upstream over all entry
	// hosts. Default: 200.
	MaxConnections int `json:"max_connections,omitempty"`
	// ColdRate is how many requests a second, over all entry hosts, a registered
	// upstream bears while it is cold: after a start, or when it says so. Default: 0,
	// no bound.
	ColdRate float64 `json:"cold_rate,omitempty"`
	// TLS states how the members are reached.
	TLS TLS `json:"tls,omitzero"`
	// Probe is the measuring budget.
	Probe ProbeBudget `json:"probe,omitempty"`
	// SlowStart is the time over which a new upstream's share grows to full. Default: 0, off.
	SlowStart Duration `json:"slow_start,omitempty"`
	// Queue bounds the requests that wait on one entry host for a slot.
	Queue Queue `json:"queue,omitempty"`
}

// Upstream is one server.
type Upstream struct {
	// ID identifies the upstream over its whole life; never reused.
	ID string `json:"id"`
	// Address is "IP:port".
	Address string `json:"address"`
	// FailureDomain is where the upstream runs.
	FailureDomain string `json:"failure_domain"`
	// Slots is the number of requests it serves at the same time. Default: 3.
	Slots int `json:"slots,omitempty"`
	// MaxConnections is the bound over all entry hosts. Default: 200.
	MaxConnections int `json:"max_connections,omitempty"`
	// State is active or draining. Default: active.
	State UpstreamState `json:"state,omitempty"`
	// Activation counts how often the operator brought this upstream back after
	// it had left of its own; raise it by one to do so. Default: 0.
	Activation uint64 `json:"activation,omitempty"`
}

// TLS states whether a group's upstreams are reached by TLS. Requests are never
// sent in the clear to a group that asks for it.
type TLS struct {
	// Enabled asks for TLS. Default: false, plain HTTP.
	Enabled bool `json:"enabled,omitempty"`
	// ServerName is the DNS name that the upstreams' certificates carry. Default:
	// the entry host's setting, or else the upstream's IP.
	ServerName string `json:"server_name,omitempty"`
}

// ProbeBudget bounds the work of measuring one upstream, over the whole fleet.
type ProbeBudget struct {
	// SlotTimePercent is the largest share of an upstream's slot time that probes
	// may take, in percent. Default: 0, no probes.
	SlotTimePercent float64 `json:"slot_time_percent,omitempty"`
	// Cost is the slot time of one probe. Default: 6ms.
	Cost Duration `json:"cost,omitempty"`
}

// Queue bounds waiting on one entry host.
type Queue struct {
	// MaxWaiting is the number of requests that may wait. Default: 64.
	MaxWaiting int `json:"max_waiting,omitempty"`
}

// Rule states how matching requests are treated.
type Rule struct {
	// Name identifies the rule within its service.
	Name string `json:"name"`
	// Methods are the HTTP methods; empty matches all.
	Methods []string `json:"methods,omitempty"`
	// PathPrefix is relative to nothing: the whole path; empty matches all.
	PathPrefix string `json:"path_prefix,omitempty"`
	// Group names the upstream group; empty with Split.
	Group string `json:"group,omitempty"`
	// Split shares the requests among several groups by weight.
	Split []Share `json:"split,omitempty"`
	// Repeat states whether the request may be sent twice. Required.
	Repeat Repeat `json:"repeat"`
	// Execution applies to non-repeatable requests. Default: ticket; direct in a
	// service whose upstreams register themselves.
	Execution Execution `json:"execution,omitempty"`
	// Deadline bounds the whole request when the caller sends none. Default: 1s.
	Deadline Duration `json:"deadline,omitempty"`
	// TargetLatency is the time within which an answer has its full worth to the
	// caller. Default: 0, no target.
	TargetLatency Duration `json:"target_latency,omitempty"`
	// Priority orders requests under overload. Default: normal.
	Priority Priority `json:"priority,omitempty"`
	// Retry applies to repeatable requests; of a non-repeatable rule only
	// MaxAttempts, to sends that certainly did not run.
	Retry Retry `json:"retry,omitempty"`
}

// Share is one group's part of a rule's requests.
type Share struct {
	// Group names the upstream group.
	Group string `json:"group"`
	// Weight is the part, relative to the other shares; at least 1.
	Weight int `json:"weight"`
}

// Shares returns the groups of the rule with their weights.
func (r *Rule) Shares() []Share {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []Share{{Group: r.Group, Weight: 1}}
}

// Retry bounds how often a repeatable request is sent.
type Retry struct {
	// MaxAttempts counts all sends. Default: 2.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// BudgetPercent bounds extra sends as a share of first sends. Default: 10.
	BudgetPercent float64 `json:"budget_percent,omitempty"`
	// Hedge applies while HedgeAfter and HedgePercentile are 0. Default: overdue.
	Hedge Hedge `json:"hedge,omitempty"`
	// HedgeAfter sends a second attempt when no answer came in this time.
	// Default: 0, as Hedge says.
	HedgeAfter Duration `json:"hedge_after,omitempty"`
	// HedgePercentile sends a second attempt when the first took longer than this
	// percentile of recent latencies, and longer than HedgeAfter.
	// Default: 0, as Hedge says.
	HedgePercentile float64 `json:"hedge_percentile,omitempty"`
}
