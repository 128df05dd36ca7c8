package settings

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/pflag"
)

// EnvPrefix starts the name of every environment variable of the project.
const EnvPrefix = "DAPPLESPINDLE_"

// FromEnvironment sets each flag that was not given on the command line from its
// environment variable: the prefix and the flag's name in upper case with underscores. A
// variable with the prefix that matches no flag is an error.
func FromEnvironment(fs *pflag.FlagSet, environ []string) error {
	for _, kv := range environ {
		key, value, _ := strings.Cut(kv, "=")
		if !strings.HasPrefix(key, EnvPrefix) {
			continue
		}
		f := fs.Lookup(flagName(key))
		if f == nil {
			return errors.Newf("%s: no such setting; see --help", key)
		}
		if f.Changed {
			continue
		}
		if err := fs.Set(f.Name, value); err != nil {
			return errors.Wrap(err, key)
		}
	}
	return nil
}

// FromProcess calls FromEnvironment with the variables of this process.
func FromProcess(fs *pflag.FlagSet) error { return FromEnvironment(fs, os.Environ()) }

func flagName(key string) string {
	name := strings.ToLower(strings.TrimPrefix(key, EnvPrefix))
	return strings.ReplaceAll(name, "_", "-")
}
