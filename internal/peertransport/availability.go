package peertransport

import (
	"encoding/json"
	"math"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dapplespindle/dapplespindle/pkg/availability"
)

// availabilityKind is the first byte of a datagram with reports of free slots by service.
const availabilityKind = 'v'

const (
	// MaxAvailabilityPerMessage is the largest number of reports in a datagram.
	MaxAvailabilityPerMessage = 10
	// MaxAvailabilityBytes bounds the sum of AvailabilityBytes over the reports of a
	// datagram; its first byte and the opening bracket of the list take the remainder.
	MaxAvailabilityBytes = maxDatagramBytes - 2
	// freeSteps is the resolution of the share of free slots, in steps per 1. More digits
	// only make the datagram longer.
	freeSteps = 1000
)

// Availability is the report of one service.
type Availability struct {
	Service string
	availability.Report
}

// availabilityMessage is an Availability as it is sent.
type availabilityMessage struct {
	Service string  `json:"s"`
	Domain  string  `json:"d"`
	Free    float64 `json:"f"`
	Samples int     `json:"n"`
	AgeUs   int64   `json:"a"` // at the time of sending
}

// AvailabilityBytes returns the largest number of bytes that a report takes in a datagram,
// including the character that separates it from the next or ends the list.
func AvailabilityBytes(service, domain string) int {
	text, err := json.Marshal(availabilityMessage{
		Service: service,
		Domain:  domain,
		Free:    1 - 1.0/freeSteps,
		Samples: availability.MaxReportSamples,
		AgeUs:   availability.MaxReportAge.Microseconds(),
	})
	if err != nil {
		return math.MaxInt
	}
	return len(text) + 1
}

// SendAvailability sends reports to each of the hosts, in one message. The caller limits their
// number and size to MaxAvailabilityPerMessage and MaxAvailabilityBytes.
func (t *Transport) SendAvailability(to []netip.AddrPort, reports []Availability) {
	messages := make([]availabilityMessage, len(reports))
	for i, r := range reports {
		messages[i] = availabilityMessage{
			Service: r.Service,
			Domain:  r.Domain,
			Free:    math.Round(r.Free*freeSteps) / freeSteps,
			Samples: r.Samples,
			AgeUs:   r.Age.Microseconds(),
		}
	}
	t.sendKind(to, availabilityKind, messages)
}

// receiveAvailability handles a datagram without its first byte.
func (t *Transport) receiveAvailability(text []byte, from netip.AddrPort) error {
	reports, err := decodeAvailability(text)
	if err != nil {
		return err
	}
	return t.conf.OnAvailability(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), reports)
}

// decodeAvailability decodes reports. If one of them is invalid, it returns none.
func decodeAvailability(text []byte) ([]Availability, error) {
	var messages []availabilityMessage
	if err := json.Unmarshal(text, &messages); err != nil {
		return nil, errors.Wrap(err, "availability message")
	}
	if len(messages) == 0 || len(messages) > MaxAvailabilityPerMessage {
		return nil, errors.Newf("availability message: %d reports", len(messages))
	}
	reports := make([]Availability, 0, len(messages))
	seen := make(map[string]bool, len(messages))
	for _, m := range messages {
		if m.Service == "" || seen[m.Service] {
			return nil, errors.Newf("availability message: service %q is empty or listed twice", m.Service)
		}
		seen[m.Service] = true
		// Compared before the conversion, which would overflow for a huge age.
		if m.AgeUs < 0 || m.AgeUs > availability.MaxReportAge.Microseconds() {
			return nil, errors.Newf("availability message: age %d us", m.AgeUs)
		}
		r := availability.Report{
			Domain:  m.Domain,
			Free:    m.Free,
			Samples: m.Samples,
			Age:     time.Duration(m.AgeUs) * time.Microsecond,
		}
		if err := r.Validate(); err != nil {
			return nil, err
		}
		reports = append(reports, Availability{m.Service, r})
	}
	return reports, nil
}
