package settings

import (
	"testing"

	"github.com/matryer/is"
	"github.com/spf13/pflag"
)

func parse(t *testing.T, args []string, environ []string) (Entry, error) {
	t.Helper()
	var e Entry
	fs := pflag.NewFlagSet("test", pflag.ContinueOnError)
	e.Register(fs)
	all := append([]string{"--failure-domain=hanoi", "--platform=http://127.0.0.1:7000"}, args...)
	if err := fs.Parse(all); err != nil {
		return e, err
	}
	if err := FromEnvironment(fs, environ); err != nil {
		return e, err
	}
	return e, e.Validate()
}

func TestValidateNamesTheSetting(t *testing.T) {
	tests := []struct {
		name, arg, want string
	}{
		{"host name", "--listen=localhost:80", `listen: "localhost:80" is not IP:port`},
		{"no port", "--peer-listen=127.0.0.1:0", `peer-listen: "127.0.0.1:0" has no port`},
		{"used twice", "--admin-listen=127.0.0.1:8080", "admin-listen: 127.0.0.1:8080 is already used by listen"},
		{"domain", "--failure-domain=", "failure-domain: is empty; set it to where this host runs"},
		{"platform", "--platform=ftp://127.0.0.1:1", `platform: "ftp://127.0.0.1:1" is not http://IP:port`},
		{"level", "--log-level=loud", `log-level: "loud" is not debug, info, warn or error`},
		{"body", "--max-body-bytes=0", "max-body-bytes: 0 is not positive"},
		{"timeout", "--dial-timeout=0s", "dial-timeout: 0s is not positive"},
		{"grace", "--stop-grace=-1s", "stop-grace: -1s is negative"},
		{"key without cert", "--peer-tls-key=/none", "peer-tls: TLS needs the certificate, the key and the authority: set all three or none"},
		{"caller key without cert", "--caller-tls-key=/none", "caller-tls: TLS towards callers needs the certificate and the key"},
		{"upstream cert without authority", "--upstream-tls-cert=/none", "upstream-tls: TLS towards upstreams needs the authority that signed their certificates"},
		{"upstream authority", "--upstream-tls-ca=/none", "upstream-tls: authority: open /none: no such file or directory"},
		{"upstream name", "--upstream-tls-server-name=a", "upstream-tls: upstream-tls-server-name is set without upstream-tls-ca"},
		{"no fleet key", "--fleet-key-file=/none", "fleet-key-file: stat /none: no such file or directory"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := parse(t, []string{tt.arg}, nil)
			is.True(err != nil)
			is.Equal(err.Error(), tt.want)
		})
	}
}

func TestEnvironment(t *testing.T) {
	t.Run("variable sets a flag", func(t *testing.T) {
		is := is.New(t)
		e, err := parse(t, nil, []string{"DAPPLESPINDLE_MAX_BODY_BYTES=7", "HOME=/"})
		is.NoErr(err)
		is.Equal(e.Limits.MaxBodyBytes, 7)
	})
	t.Run("a flag wins", func(t *testing.T) {
		is := is.New(t)
		e, err := parse(t, []string{"--max-body-bytes=8"}, []string{"DAPPLESPINDLE_MAX_BODY_BYTES=7"})
		is.NoErr(err)
		is.Equal(e.Limits.MaxBodyBytes, 8)
	})
	t.Run("an unknown variable is an error", func(t *testing.T) {
		is := is.New(t)
		_, err := parse(t, nil, []string{"DAPPLESPINDLE_MAX_BODY=7"})
		is.True(err != nil)
	})
}
