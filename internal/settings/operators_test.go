package settings

import (
	"testing"

	"github.com/matryer/is"
	"github.com/spf13/pflag"
)

func TestOperators(t *testing.T) {
	tests := []struct {
		variable string
		ok       bool
	}{
		{"OPERATOR_LISTEN=127.0.0.1:25000", true},
		{"OPERATOR_LISTEN=nowhere", false},
		{"OPERATOR_TLS_CERT=cert.pem", false}, // without a key and a CA
		{"EVENT_CAPACITY=0", false},
		{"EVENT_DEBUG_RATE=x", false},
		{"TRACE_RATIO=1", true},
		{"TRACE_RATIO=1.5", false},
		{"TRACE_RATE=1", false}, // no such setting
	}
	for _, tc := range tests {
		t.Run(tc.variable, func(t *testing.T) {
			var o Operators
			fs := pflag.NewFlagSet("entry", pflag.ContinueOnError)
			o.Register(fs)
			err := FromEnvironment(fs, []string{EnvPrefix + tc.variable})
			if err == nil {
				err = o.Validate()
			}
			is.New(t).Equal(err == nil, tc.ok)
		})
	}
}
