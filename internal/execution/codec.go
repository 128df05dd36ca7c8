package execution

import (
	"net/http"
	"time"

	executionv1 "github.com/dapplespindle/dapplespindle/api/execution/v1"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/atmostonce"
	"github.com/dapplespindle/dapplespindle/pkg/errkind"
)

func encodeRequest(t atmostonce.Ticket, req *httpwire.Request, left time.Duration) *executionv1.ExecuteRequest {
	return &executionv1.ExecuteRequest{
		Ticket:        t.String(),
		Method:        req.Method,
		Target:        req.Target,
		Path:          req.Path,
		Host:          req.Host,
		Headers:       encodeHeader(req.Header),
		Body:          req.Body,
		RemoteAddress: req.RemoteAddr,
		TimeoutUs:     left.Microseconds(),
	}
}

func decodeRequest(m *executionv1.ExecuteRequest, received time.Time) *httpwire.Request {
	return &httpwire.Request{
		Method:     m.GetMethod(),
		Target:     m.GetTarget(),
		Path:       m.GetPath(),
		Host:       m.GetHost(),
		Header:     decodeHeader(m.GetHeaders()),
		Body:       m.GetBody(),
		RemoteAddr: m.GetRemoteAddress(),
		Received:   received,
	}
}

func encodeHeader(h http.Header) []*executionv1.Header {
	fields := make([]*executionv1.Header, 0, len(h))
	for name, values := range h {
		fields = append(fields, &executionv1.Header{Name: name, Values: values})
	}
	return fields
}

func decodeHeader(fields []*executionv1.Header) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.GetName()] = f.GetValues()
	}
	return h
}

func encodeResult(r atmostonce.Result) *executionv1.Result {
	m := &executionv1.Result{Detail: r.Detail}
	if r.Kind != errkind.None {
		m.Kind = r.Kind.String()
	}
	if a := r.Answer; a != nil {
		m.Answer = &executionv1.Answer{Status: int32(a.Status), Headers: encodeHeader(a.Header), Body: a.Body}
	}
	return m
}

// decodeResult decodes a result. A result that has neither a response nor a known
// error kind is decoded as "unknown".
func decodeResult(m *executionv1.Result) atmostonce.Result {
	if m.GetKind() != "" {
		return atmostonce.Result{Kind: kindByName(m.GetKind()), Detail: m.GetDetail()}
	}
	a := m.GetAnswer()
	if a == nil {
		return atmostonce.Result{Kind: errkind.OutcomeUnknown, Detail: "a peer's answer is empty"}
	}
	return atmostonce.Ran(&atmostonce.Answer{
		Status: int(a.GetStatus()),
		Header: decodeHeader(a.GetHeaders()),
		Body:   a.GetBody(),
	})
}
