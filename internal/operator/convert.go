package operator

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
	"github.com/dapplespindle/dapplespindle/internal/events"
	"github.com/dapplespindle/dapplespindle/pkg/event"
	"github.com/dapplespindle/dapplespindle/pkg/plan"
)

var levelNames = [...]string{event.Debug: "debug", event.Info: "info", event.Warn: "warn", event.Error: "error"}

var operations = map[plan.Operation]operatorv1.Difference_Operation{
	plan.Added:   operatorv1.Difference_OPERATION_ADDED,
	plan.Removed: operatorv1.Difference_OPERATION_REMOVED,
	plan.Changed: operatorv1.Difference_OPERATION_CHANGED,
}

func versionMessage(b plan.Base) *operatorv1.Version {
	return &operatorv1.Version{Revision: b.Revision, Digest: b.Digest}
}

func differenceMessages(list []plan.Difference) []*operatorv1.Difference {
	out := make([]*operatorv1.Difference, 0, len(list))
	for _, d := range list {
		out = append(out, &operatorv1.Difference{Operation: operations[d.Operation], Field: d.Field, Old: d.Old, New: d.New})
	}
	return out
}

func planMessage(p *plan.Plan) *operatorv1.Plan {
	return &operatorv1.Plan{
		Key:          p.Key,
		Base:         versionMessage(p.Base),
		Delete:       p.Delete,
		Document:     p.Document,
		Digest:       p.Digest,
		Differences:  differenceMessages(p.Differences),
		Consequences: p.Consequences,
		Warnings:     p.Warnings,
	}
}

// eventMessage converts an event to its protobuf message, with the name, level and unit
// from event.Catalogue.
func eventMessage(e *event.Event) *operatorv1.Event {
	entry := event.Catalogue[e.Code]
	return &operatorv1.Event{
		Code:      uint32(e.Code),
		Name:      e.Code.String(),
		Level:     levelNames[entry.Level],
		At:        timestamppb.New(e.At),
		EntryHost: e.EntryHost,
		Request:   e.Request,
		Service:   e.Service,
		Rule:      e.Rule,
		Upstream:  e.Upstream,
		Reason:    e.Reason,
		Detail:    e.Detail,
		Attempt:   int32(e.Attempt),
		Value:     e.Value,
		Unit:      entry.Unit,
		Elapsed:   durationpb.New(e.Elapsed),
	}
}

func eventMessages(list []event.Event) []*operatorv1.Event {
	out := make([]*operatorv1.Event, 0, len(list))
	for i := range list {
		out = append(out, eventMessage(&list[i]))
	}
	return out
}

// parseFilter converts and validates a filter from its protobuf message.
func parseFilter(f *operatorv1.Filter) (events.Filter, error) {
	level, err := parseLevel(f.GetMinLevel())
	if err != nil {
		return events.Filter{}, err
	}
	const maxCode = 1<<16 - 1
	if f.GetMinCode() > maxCode || f.GetMaxCode() > maxCode {
		return events.Filter{}, status.Error(codes.InvalidArgument, "code: is outside 0 to 65535")
	}
	return events.Filter{
		Request:  f.GetRequest(),
		Service:  f.GetService(),
		Rule:     f.GetRule(),
		Upstream: f.GetUpstream(),
		MinCode:  event.Code(f.GetMinCode()),
		MaxCode:  event.Code(f.GetMaxCode()),
		MinLevel: level,
	}, nil
}

func parseLevel(name string) (event.Level, error) {
	if name == "" {
		return event.Debug, nil
	}
	for level, n := range levelNames {
		if n == name {
			return event.Level(level), nil
		}
	}
	return 0, status.Errorf(codes.InvalidArgument, "level: %q is not debug, info, warn or error", name)
}

func statsMessage(st events.Stats) *operatorv1.EventStats {
	return &operatorv1.EventStats{
		Kept:            st.Kept,
		SampledOut:      st.SampledOut,
		DroppedBusy:     st.DroppedBusy,
		DroppedWatchers: st.DroppedWatchers,
		Watchers:        uint32(st.Watchers),
	}
}
