// Package ctl implements spindlectl, the operators' command line. Most commands call the
// operator API of one entry host over gRPC; none of them publishes a configuration.
package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
	"github.com/dapplespindle/dapplespindle/internal/peer"
	"github.com/dapplespindle/dapplespindle/internal/settings"
	"github.com/dapplespindle/dapplespindle/internal/tlsconf"
)

// DefaultServer is the default address of an entry host's listener for operators.
const DefaultServer = "127.0.0.1:8083"

// Environment is the process environment of the command.
type Environment struct {
	// Args are the arguments without the program's name.
	Args []string
	// Environ are the environment variables.
	Environ []string
	// Stdin, Stdout and Stderr are the standard streams.
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// Version is the version of the build.
	Version string
}

// app is the state that the commands share.
type app struct {
	env      Environment
	server   string
	output   string
	timeout  time.Duration
	operator string
	tls      settings.TLS
	// started is set once the command line has been validated. Errors before that are usage
	// errors.
	started bool
}

// Run executes one command and returns its exit code.
func Run(ctx context.Context, env Environment) Code {
	a := &app{env: env}
	root := a.root()
	root.SetArgs(env.Args)
	root.SetIn(env.Stdin)
	root.SetOut(env.Stdout)
	root.SetErr(env.Stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return OK
	}
	fmt.Fprintln(env.Stderr, "spindlectl:", message(err))
	if !a.started {
		return Usage
	}
	return codeOf(err)
}

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:   "spindlectl",
		Short: "Inspect a fleet of entry hosts and plan changes",
		Long: "spindlectl calls one entry host. It plans changes and follows them until they are in\n" +
			"force; it publishes nothing, because only the platform stores the configuration.\n\n" + exitCodeHelp(),
		Version:           a.env.Version,
		SilenceUsage:      true,
		SilenceErrors:     true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error { return a.start(cmd) },
	}
	needSubcommand(root)
	fs := root.PersistentFlags()
	fs.StringVar(&a.server, "server", DefaultServer, "IP:port of an entry host's listener for operators")
	fs.StringVarP(&a.output, "output", "o", "table", "table, json or yaml")
	fs.DurationVar(&a.timeout, "timeout", 5*time.Second, "timeout of a call; does not apply to watch and follow")
	fs.StringVar(&a.operator, "operator", "", "your name, shown to other operators on a conflict (default the certificate's)")
	a.tls.Register(fs, "tls", "towards the entry host")
	root.AddCommand(
		a.serviceCommand(), a.groupCommand(), a.ruleCommand(), a.upstreamCommand(),
		a.statusCommand(), a.watchCommand(), a.explainCommand(), a.followCommand(),
		a.checkCommand(), a.logsCommand(), a.versionCommand(),
	)
	return root
}

func exitCodeHelp() string {
	var b strings.Builder
	b.WriteString("Exit codes:\n")
	for code, meaning := range codeMeanings {
		fmt.Fprintf(&b, "  %d  %s\n", code, meaning)
	}
	return b.String()
}

// start reads the environment and checks the common settings.
func (a *app) start(cmd *cobra.Command) error {
	if err := settings.FromEnvironment(cmd.Root().PersistentFlags(), a.env.Environ); err != nil {
		return err
	}
	if err := a.tls.Validate(); err != nil {
		return err
	}
	switch a.output {
	case "table", "json", "yaml":
	default:
		return errors.Newf("output: %q is not table, json or yaml", a.output)
	}
	if a.timeout <= 0 {
		return errors.New("timeout: is not positive")
	}
	a.started = true
	return nil
}

// needSubcommand makes a command that only groups subcommands fail if it is run on its own.
func needSubcommand(cmd *cobra.Command) {
	cmd.Args = cobra.NoArgs
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return withCode(Usage, errors.Newf("%s needs a subcommand; see --help", cmd.CommandPath()))
	}
}

// call connects, runs f within the timeout and disconnects.
func (a *app) call(cmd *cobra.Command, f func(ctx context.Context, c operatorv1.OperatorClient) error) error {
	return a.stream(cmd, func(ctx context.Context, c operatorv1.OperatorClient) error {
		bounded, cancel := context.WithTimeout(ctx, a.timeout)
		defer cancel()
		return f(bounded, c)
	})
}

// stream is like call, without a timeout.
func (a *app) stream(cmd *cobra.Command, f func(ctx context.Context, c operatorv1.OperatorClient) error) error {
	creds, err := a.credentials()
	if err != nil {
		return withCode(Usage, err)
	}
	conn, err := grpc.NewClient("passthrough:///"+a.server,
		grpc.WithTransportCredentials(creds),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(peer.MaxMessageBytes)))
	if err != nil {
		return withCode(Usage, err)
	}
	defer func() { _ = conn.Close() }()
	return f(cmd.Context(), operatorv1.NewOperatorClient(conn))
}

func (a *app) credentials() (credentials.TransportCredentials, error) {
	if !a.tls.Files.Enabled() {
		return insecure.NewCredentials(), nil
	}
	r, err := tlsconf.Load(a.tls.Files, tlsconf.Options{})
	if err != nil {
		return nil, err
	}
	return r.Credentials(a.tls.ServerName), nil
}

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintln(a.env.Stdout, a.env.Version)
			return err
		},
	}
}
