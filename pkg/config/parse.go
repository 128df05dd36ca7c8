package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults for optional fields.
const (
	DefaultPolicy = "spindle"
	// DefaultRegisteredPolicy applies to groups whose members register themselves.
	DefaultRegisteredPolicy = "probe-first"
	DefaultSlots            = 3
	DefaultMaxConnections   = 200
	DefaultDeadline         = time.Second
	DefaultProbeCost        = 6 * time.Millisecond
	DefaultMaxWaiting       = 64
	DefaultMaxAttempts      = 2
	DefaultBudgetPercent    = 10

	maxDeadline  = 5 * time.Minute
	maxWaiting   = 100_000
	maxSlots     = 10_000
	maxConns     = 100_000
	maxColdRate  = 100_000 // requests a second
	maxAttempts  = 10
	maxUpstreams = 4096
	maxWeight    = 1_000_000

	maxServerName = 253 // bytes
)

var (
	serverNamePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9-]{0,62}\.)*[A-Za-z0-9-]{1,63}$`)
	methodPattern     = regexp.MustCompile(`^[A-Z][A-Z-]{0,31}$`)
)

// FieldError reports an invalid field and how to correct it.
type FieldError struct {
	// Field is the path of the field, such as "rules[0].repeat".
	Field string
	// Problem describes what is wrong.
	Problem string
	// Fix describes how to correct it.
	Fix string
}

// Error implements error.
func (e *FieldError) Error() string {
	return e.Field + ": " + e.Problem + "; " + e.Fix
}

// Parse decodes one service document, sets its defaults and validates it. The error
// is a *FieldError, or a decoding error with the offset.
func Parse(b []byte) (*Service, error) {
	if len(b) > MaxDocumentBytes {
		return nil, &FieldError{"(document)", "is " + strconv.Itoa(len(b)) + " bytes", "keep it within 1 MiB"}
	}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	s := new(Service)
	if err := dec.Decode(s); err != nil {
		return nil, errors.Wrapf(err, "decode at byte %d", dec.InputOffset())
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, &FieldError{"(document)", "has data after the value", "publish one JSON value"}
	}
	s.SetDefaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	if err := s.checkDocumentNames(); err != nil {
		return nil, err
	}
	return s, nil
}

// SetDefaults sets optional fields that are zero to their defaults.
func (s *Service) SetDefaults() {
	for i := range s.Groups {
		s.Groups[i].setDefaults()
	}
	registered := slices.ContainsFunc(s.Groups, func(g Group) bool { return g.Registered != "" })
	for i := range s.Rules {
		s.Rules[i].setDefaults(registered)
	}
}

func (g *Group) setDefaults() {
	policy := DefaultPolicy
	if g.Registered != "" {
		policy = DefaultRegisteredPolicy
	}
	g.Policy = cmp.Or(g.Policy, policy)
	g.Queue.MaxWaiting = cmp.Or(g.Queue.MaxWaiting, DefaultMaxWaiting)
	if g.Registered != "" {
		g.MaxConnections = cmp.Or(g.MaxConnections, DefaultMaxConnections)
	}
	g.Probe.Cost = cmp.Or(g.Probe.Cost, Duration(DefaultProbeCost))
	for i := range g.Upstreams {
		u := &g.Upstreams[i]
		u.Slots = cmp.Or(u.Slots, DefaultSlots)
		u.MaxConnections = cmp.Or(u.MaxConnections, DefaultMaxConnections)
		u.State = cmp.Or(u.State, Active)
	}
}

// setDefaults sets the defaults of r. Registered is true if upstreams of the service
// register themselves: entry hosts that read upstreams from a store issue no tickets.
func (r *Rule) setDefaults(registered bool) {
	r.Deadline = cmp.Or(r.Deadline, Duration(DefaultDeadline))
	r.Priority = cmp.Or(r.Priority, PriorityNormal)
	if r.Repeat != Repeatable {
		execution := ExecutionTicket
		if registered {
			execution = ExecutionDirect
		}
		r.Execution = cmp.Or(r.Execution, execution)
		return
	}
	r.Retry.MaxAttempts = cmp.Or(r.Retry.MaxAttempts, DefaultMaxAttempts)
	r.Retry.BudgetPercent = cmp.Or(r.Retry.BudgetPercent, DefaultBudgetPercent)
	r.Retry.Hedge = cmp.Or(r.Retry.Hedge, HedgeOverdue)
}

// Validate reports the first field that is out of range, as a *FieldError.
func (s *Service) Validate() error {
	if err := checkName("name", s.Name); err != nil {
		return err
	}
	if !strings.HasPrefix(s.Match.PathPrefix, "/") {
		return &FieldError{"match.path_prefix", "does not start with /", "write for example \"/" + s.Name + "/\""}
	}
	if s.Unserved != "" {
		return s.validateUnserved()
	}
	if s.Match.PathUnknown {
		return &FieldError{"match.path_unknown", "is set on a service that is served", "remove it"}
	}
	groups := make(map[string]bool, len(s.Groups))
	for i := range s.Groups {
		field := elementPath("groups", i)
		if err := s.Groups[i].validate(field); err != nil {
			return err
		}
		if groups[s.Groups[i].Name] {
			return &FieldError{field + ".name", "stands twice", "give each group its own name"}
		}
		groups[s.Groups[i].Name] = true
	}
	if len(s.Rules) == 0 {
		return &FieldError{"rules", "is empty", "add at least one rule"}
	}
	names := make(map[string]bool, len(s.Rules))
	for i := range s.Rules {
		field := elementPath("rules", i)
		if err := s.Rules[i].validate(field, groups); err != nil {
			return err
		}
		if names[s.Rules[i].Name] {
			return &FieldError{field + ".name", "stands twice", "give each rule its own name"}
		}
		names[s.Rules[i].Name] = true
	}
	return nil
}

func (s *Service) validateUnserved() error {
	if len(s.Groups) > 0 || len(s.Rules) > 0 {
		return &FieldError{"unserved", "is set beside groups or rules", "remove it, or them"}
	}
	if len(s.Unserved) > MaxUnservedBytes {
		return &FieldError{"unserved", "is over 1,024 bytes", "write a short reason"}
	}
	return nil
}

func (g *Group) validate(field string) error {
	if err := checkName(field+".name", g.Name); err != nil {
		return err
	}
	if err := g.validateRegistered(field); err != nil {
		return err
	}
	if len(g.Upstreams) > maxUpstreams {
		return &FieldError{field + ".upstreams", "has over 4096 members", "split the group"}
	}
	if g.Probe.SlotTimePercent < 0 || g.Probe.SlotTimePercent > 50 {
		return &FieldError{field + ".probe.slot_time_percent", "is outside 0 to 50", "write a percentage of slot time"}
	}
	if g.Probe.Cost <= 0 || g.Probe.Cost.Std() > maxDeadline {
		return &FieldError{field + ".probe.cost", "is outside 0 to 5m", "write the slot time of one probe, such as \"6ms\""}
	}
	if err := g.TLS.validate(field + ".tls"); err != nil {
		return err
	}
	if g.SlowStart < 0 || g.SlowStart.Std() > maxDeadline {
		return &FieldError{field + ".slow_start", "is outside 0 to 5m", "write for example \"10s\""}
	}
	if g.Queue.MaxWaiting < 0 || g.Queue.MaxWaiting > maxWaiting {
		return &FieldError{field + ".queue.max_waiting", "is outside 0 to 100000", "write 0 for the default or a bound"}
	}
	ids := make(map[string]bool, len(g.Upstreams))
	for i := range g.Upstreams {
		uf := elementPath(field+".upstreams", i)
		if err := g.Upstreams[i].validate(uf); err != nil {
			return err
		}
		if ids[g.Upstreams[i].ID] {
			return &FieldError{uf + ".id", "stands twice", "give each upstream its own id"}
		}
		ids[g.Upstreams[i].ID] = true
	}
	return nil
}

func (g *Group) validateRegistered(field string) error {
	if g.Registered == "" {
		if g.HealthPath != "" || g.MaxConnections != 0 || g.ColdRate != 0 {
			return &FieldError{field + ".registered", "is empty beside health_path, max_connections or cold_rate", "name the registered service or remove them"}
		}
		return nil
	}
	if len(g.Upstreams) > 0 {
		return &FieldError{field + ".upstreams", "is set beside registered", "write one of both"}
	}
	if g.HealthPath != "" && !strings.HasPrefix(g.HealthPath, "/") {
		return &FieldError{field + ".health_path", "does not start with /", "write for example \"/health\""}
	}
	if g.MaxConnections < 1 || g.MaxConnections > maxConns {
		return &FieldError{field + ".max_connections", "is outside 1 to 100000", "write the bound over all entry hosts"}
	}
	if !(g.ColdRate >= 0 && g.ColdRate <= maxColdRate) {
		return &FieldError{field + ".cold_rate", "is outside 0 to 100000", "write requests a second over all entry hosts, or 0 for no bound"}
	}
	return nil
}

func (t *TLS) validate(field string) error {
	if t.ServerName == "" {
		return nil
	}
	if !t.Enabled {
		return &FieldError{field + ".server_name", "is set without enabled", "set enabled to true or remove it"}
	}
	if len(t.ServerName) > maxServerName || !serverNamePattern.MatchString(t.ServerName) {
		return &FieldError{field + ".server_name", strconv.Quote(t.ServerName) + " is not a DNS name", "write for example \"upstream.example\""}
	}
	return nil
}

func (u *Upstream) validate(field string) error {
	if err := checkDocumentName(field+".id", u.ID); err != nil {
		return err
	}
	if ap, err := netip.ParseAddrPort(u.Address); err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() {
		return &FieldError{field + ".address", "is not IP:port", "write for example \"10.0.0.7:8080\""}
	}
	if err := checkDocumentName(field+".failure_domain", u.FailureDomain); err != nil {
		return err
	}
	if u.Slots < 1 || u.Slots > maxSlots {
		return &FieldError{field + ".slots", "is outside 1 to 10000", "write the number of requests served at once"}
	}
	if u.MaxConnections < 1 || u.MaxConnections > maxConns {
		return &FieldError{field + ".max_connections", "is outside 1 to 100000", "write the bound over all entry hosts"}
	}
	if u.State != Active && u.State != Draining {
		return &FieldError{field + ".state", "is " + strconv.Quote(string(u.State)), "write \"active\" or \"draining\""}
	}
	return nil
}

func (r *Rule) validate(field string, groups map[string]bool) error {
	if err := checkName(field+".name", r.Name); err != nil {
		return err
	}
	if err := r.validateShares(field, groups); err != nil {
		return err
	}
	for i, m := range r.Methods {
		if !methodPattern.MatchString(m) {
			return &FieldError{elementPath(field+".methods", i), "is not an upper-case method", "write for example \"GET\""}
		}
	}
	if r.PathPrefix != "" && !strings.HasPrefix(r.PathPrefix, "/") {
		return &FieldError{field + ".path_prefix", "does not start with /", "write the whole path prefix"}
	}
	if r.TargetLatency < 0 || r.TargetLatency.Std() > maxDeadline {
		return &FieldError{field + ".target_latency", "is outside 0 to 5m", "write for example \"250ms\""}
	}
	if r.Deadline <= 0 || r.Deadline.Std() > maxDeadline {
		return &FieldError{field + ".deadline", "is outside 0 to 5m", "write for example \"250ms\""}
	}
	switch r.Priority {
	case PriorityHigh, PriorityNormal, PriorityLow:
	default:
		return &FieldError{field + ".priority", "is " + strconv.Quote(string(r.Priority)), "write \"high\", \"normal\" or \"low\""}
	}
	return r.validateRepeat(field)
}

func (r *Rule) validateShares(field string, groups map[string]bool) error {
	if len(r.Split) > 0 && r.Group != "" {
		return &FieldError{field + ".group", "is set beside split", "write one of both"}
	}
	for i, share := range r.Shares() {
		at := field
		if len(r.Split) > 0 {
			at = elementPath(field+".split", i)
		}
		if !groups[share.Group] {
			return &FieldError{at + ".group", "names no group of this service", "add the group or correct the name"}
		}
		if share.Weight < 1 || share.Weight > maxWeight {
			return &FieldError{at + ".weight", "is outside 1 to 1000000", "leave out a group that gets nothing"}
		}
	}
	return nil
}

func (r *Rule) validateRepeat(field string) error {
	switch r.Repeat {
	case Repeatable:
		if r.Execution != "" {
			return &FieldError{field + ".execution", "is set on a repeatable rule", "remove it: only actions need tickets"}
		}
		if r.Retry.MaxAttempts < 1 || r.Retry.MaxAttempts > maxAttempts {
			return &FieldError{field + ".retry.max_attempts", "is outside 1 to 10", "count all sends, the first included"}
		}
		if r.Retry.BudgetPercent < 0 || r.Retry.BudgetPercent > 100 {
			return &FieldError{field + ".retry.budget_percent", "is outside 0 to 100", "write the share of extra sends"}
		}
		if r.Retry.HedgeAfter < 0 || r.Retry.HedgeAfter.Std() > maxDeadline {
			return &FieldError{field + ".retry.hedge_after", "is outside 0 to 5m", "leave it out to hedge overdue answers"}
		}
		if r.Retry.HedgePercentile < 0 || r.Retry.HedgePercentile >= 100 {
			return &FieldError{field + ".retry.hedge_percentile", "is outside 0 to 100", "write for example 95, or leave it out to hedge overdue answers"}
		}
		return r.Retry.validateHedge(field + ".retry.hedge")
	case NonRepeatable:
		if r.Execution != ExecutionTicket && r.Execution != ExecutionDirect {
			return &FieldError{field + ".execution", "is " + strconv.Quote(string(r.Execution)), "write \"ticket\" or \"direct\""}
		}
		if r.Retry != (Retry{MaxAttempts: r.Retry.MaxAttempts}) {
			return &FieldError{field + ".retry", "is set on a non-repeatable rule", "remove all but max_attempts: such a request runs once"}
		}
		if r.Retry.MaxAttempts < 0 || r.Retry.MaxAttempts > maxAttempts {
			return &FieldError{field + ".retry.max_attempts", "is outside 1 to 10", "count all sends, the first included"}
		}
	default:
		return &FieldError{field + ".repeat", "is " + strconv.Quote(string(r.Repeat)), "write \"repeatable\" or \"non-repeatable\""}
	}
	return nil
}

func (r Retry) validateHedge(field string) error {
	switch r.Hedge {
	case HedgeOverdue:
		return nil
	case HedgeOff:
		if r.HedgeAfter > 0 || r.HedgePercentile > 0 {
			return &FieldError{field, "is \"off\" beside a hedging delay", "remove hedge_after and hedge_percentile"}
		}
		return nil
	default:
		return &FieldError{field, "is " + strconv.Quote(string(r.Hedge)), "write \"overdue\" or \"off\""}
	}
}

func elementPath(field string, i int) string {
	return field + "[" + strconv.Itoa(i) + "]"
}
