package lifecycle

import "github.com/dapplespindle/dapplespindle/charts"

// The states, events and effects of charts/upstream.yaml that the code refers to.
var (
	stWarming     = charts.Upstream.MustState("warming")
	stServing     = charts.Upstream.MustState("serving")
	stUnreachable = charts.Upstream.MustState("unreachable")
	stLeaving     = charts.Upstream.MustState("leaving")
	stDrained     = charts.Upstream.MustState("drained")

	evWarm          = charts.Upstream.MustEvent("warm")
	evConnectFailed = charts.Upstream.MustEvent("connect-failed")
	evReached       = charts.Upstream.MustEvent("reached")
	evLeave         = charts.Upstream.MustEvent("leave")
	evIdle          = charts.Upstream.MustEvent("idle")
	evActivate      = charts.Upstream.MustEvent("activate")
	evRemove        = charts.Upstream.MustEvent("remove")

	doPublish       = charts.Upstream.MustEffect("publish")
	doAnnounce      = charts.Upstream.MustEffect("announce")
	doReportDrained = charts.Upstream.MustEffect("report-drained")
)
