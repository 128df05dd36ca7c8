package main

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func checkConfig(args ...string) (string, error) {
	var out bytes.Buffer
	cmd := newCommand()
	cmd.SetOut(&out)
	cmd.SetArgs(append([]string{"check-config", "--failure-domain=hanoi", "--platform=http://127.0.0.1:7000"}, args...))
	err := cmd.Execute()
	return out.String(), err
}

// check-config must succeed although its listen address is already in use.
func TestCheckConfigOpensNoSocket(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	out, err := checkConfig("--listen", ln.Addr().String())
	is.NoErr(err)
	is.Equal(out, "the settings are valid\n")
}

func TestCheckConfigRejectsInvalidSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "not-a-key")
	is.New(t).NoErr(os.WriteFile(file, []byte("nothing"), 0o600))
	tests := []struct {
		name string
		args []string
	}{
		{"invalid listen address", []string{"--listen=nowhere"}},
		{"unknown flag", []string{"--no-such-flag"}},
		{"invalid certificate file", []string{
			"--operator-tls-cert=" + file, "--operator-tls-key=" + file, "--operator-tls-ca=" + file}},
		{"fleet key file without a key", []string{"--fleet-key-file=" + file}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := checkConfig(tt.args...)
			is.New(t).True(err != nil)
		})
	}
}
