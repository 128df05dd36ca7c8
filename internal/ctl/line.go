package ctl

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
)

const timeFormat = "15:04:05.000"

// Colours of the levels, as terminal escape sequences.
const (
	colourReset  = "\x1b[0m"
	colourDim    = "\x1b[2m"
	colourYellow = "\x1b[33m"
	colourRed    = "\x1b[31m"
)

var levelColours = map[string]string{"debug": colourDim, "warn": colourYellow, "error": colourRed}

// eventLine formats a decision event as a line of text: the time, the host, the event's
// name, the request, the upstream, the reason and the time since the request arrived.
func eventLine(e *operatorv1.Event, colour bool) string {
	name := fmt.Sprintf("%-17s", e.GetName())
	if c := levelColours[e.GetLevel()]; colour && c != "" {
		name = c + name + colourReset
	}
	parts := []string{
		e.GetAt().AsTime().Format(timeFormat),
		fmt.Sprintf("%-15s", e.GetEntryHost()),
		name,
	}
	parts = appendText(parts, requestText(e))
	parts = appendText(parts, upstreamText(e))
	parts = appendText(parts, reasonText(e))
	if elapsed := e.GetElapsed().AsDuration(); elapsed > 0 {
		parts = append(parts, "+"+elapsed.Round(time.Microsecond).String())
	}
	return strings.Join(parts, "  ")
}

func appendText(parts []string, s string) []string {
	if s == "" {
		return parts
	}
	return append(parts, s)
}

func requestText(e *operatorv1.Event) string {
	route := e.GetService()
	if e.GetRule() != "" {
		route += "/" + e.GetRule()
	}
	return strings.TrimSpace(e.GetRequest() + " " + route)
}

func upstreamText(e *operatorv1.Event) string {
	s := ""
	if e.GetUpstream() != "" {
		s = "-> " + e.GetUpstream()
	}
	if e.GetAttempt() > 1 {
		s = strings.TrimSpace(s + fmt.Sprintf(" (attempt %d)", e.GetAttempt()))
	}
	return s
}

// reasonText joins the reason, the detail and the value of an event.
func reasonText(e *operatorv1.Event) string {
	s := e.GetReason()
	// The detail of an error often begins with the reason, which is the error kind.
	if detail := strings.TrimPrefix(e.GetDetail(), s+": "); detail != "" && detail != s {
		s = strings.TrimPrefix(s+": "+detail, ": ")
	}
	if e.GetUnit() == "" {
		return s
	}
	return strings.TrimSpace(fmt.Sprintf("%s [%s: %d]", s, e.GetUnit(), e.GetValue()))
}

// isTerminal reports whether w is a terminal and NO_COLOR is not set.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok || os.Getenv("NO_COLOR") != "" {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
