// Command spindled is the entry host daemon.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/dapplespindle/dapplespindle/internal/entry"
	"github.com/dapplespindle/dapplespindle/internal/settings"
)

// version is set at link time.
var version = "dev"

func main() {
	if err := newCommand().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "spindled:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var conf settings.Entry
	cmd := &cobra.Command{
		Use:           "spindled",
		Short:         "Serve callers on an entry host",
		Version:       version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := loadSettings(cmd, &conf); err != nil {
				return err
			}
			return run(cmd, conf)
		},
	}
	conf.Register(cmd.PersistentFlags())
	cmd.AddCommand(newCheckCommand(&conf))
	return cmd
}

// newCheckCommand returns the check-config command. It validates the settings as at
// startup but opens no socket.
func newCheckCommand(conf *settings.Entry) *cobra.Command {
	return &cobra.Command{
		Use:   "check-config",
		Short: "Check the settings and the key files they name, then exit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := loadSettings(cmd, conf); err != nil {
				return err
			}
			if err := entry.Check(*conf, cmd.OutOrStdout()); err != nil {
				return err
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "the settings are valid")
			return err
		},
	}
}

// loadSettings sets flags that were not given from the environment and validates
// the settings.
func loadSettings(cmd *cobra.Command, conf *settings.Entry) error {
	if err := settings.FromProcess(cmd.Flags()); err != nil {
		return err
	}
	return conf.Validate()
}

func run(cmd *cobra.Command, conf settings.Entry) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(cmd.Context())
	defer cancel()
	e, err := entry.New(ctx, conf, version, os.Stdout)
	if err != nil {
		return err
	}
	return e.Run(ctx, signals)
}
