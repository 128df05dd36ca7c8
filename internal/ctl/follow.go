package ctl

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
)

// followFlags select the version to follow.
type followFlags struct {
	digest   string
	revision uint64
	base     uint64
	wait     time.Duration
	deleted  bool
}

func (a *app) followCommand() *cobra.Command {
	var flags followFlags
	cmd := &cobra.Command{
		Use:   "follow KEY",
		Short: "Wait until a document is in force on every entry host; name the hosts that lag",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			req, err := flags.request(args[0], cmd.Flags().Changed("base"))
			if err != nil {
				return withCode(Usage, err)
			}
			return a.stream(cmd, func(ctx context.Context, c operatorv1.OperatorClient) error {
				return a.follow(ctx, c, req, flags.wait)
			})
		},
	}
	fs := cmd.Flags()
	fs.StringVar(&flags.digest, "digest", "", "digest of the document, as the plan shows it")
	fs.Uint64Var(&flags.revision, "revision", 0, "platform revision of the document, if its digest is not known")
	fs.BoolVar(&flags.deleted, "deleted", false, "wait for the deletion of the key")
	fs.Uint64Var(&flags.base, "base", 0, "revision that the plan was computed from (default the one in force)")
	fs.DurationVar(&flags.wait, "wait", 30*time.Second, "time to wait")
	return cmd
}

func (f *followFlags) request(key string, hasBase bool) (*operatorv1.FollowRequest, error) {
	digest, err := parseDigest(f.digest)
	if err != nil {
		return nil, err
	}
	// An explicit --digest 0 is accepted: the follow command that is printed for a planned
	// deletion has digest 0.
	if digest == 0 && f.revision == 0 && f.digest == "" && !f.deleted {
		return nil, errors.New("follow needs --digest, --revision or --deleted")
	}
	if !strings.Contains(key, "/") {
		key = "services/" + key
	}
	req := &operatorv1.FollowRequest{Key: key, Digest: digest, Revision: f.revision}
	if hasBase {
		req.BaseRevision = &f.base
	}
	return req, nil
}

func (a *app) follow(ctx context.Context, c operatorv1.OperatorClient, req *operatorv1.FollowRequest, wait time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The wait is not a deadline of the call: the server would see that deadline first and
	// return an error that looks like an error of its own.
	var expired atomic.Bool
	timer := time.AfterFunc(wait, func() {
		expired.Store(true)
		cancel()
	})
	defer timer.Stop()
	stream, err := c.Follow(ctx, req)
	if err != nil {
		return err
	}
	var last *operatorv1.FollowUpdate
	for {
		update, err := stream.Recv()
		if err != nil {
			return followError(err, last, expired.Load(), wait)
		}
		last = update
		if err := a.printUpdate(update); err != nil {
			return err
		}
		switch update.GetState() {
		case operatorv1.FollowUpdate_STATE_IN_FORCE:
			return nil
		case operatorv1.FollowUpdate_STATE_SUPERSEDED:
			return withCode(Conflict, errors.New("superseded: "+versionText(update.GetCurrent())+" is in force"+byText(update.GetPlannedBy())))
		}
	}
}

// followError returns the error for a stream that ended: that the wait expired, or else
// err.
func followError(err error, last *operatorv1.FollowUpdate, expired bool, wait time.Duration) error {
	if !expired {
		return err
	}
	if last == nil {
		return withCode(Unreachable, errors.Newf("no response within %s", wait))
	}
	return withCode(NotInForce, errors.Newf("not in force on every entry host after %s: %s", wait, laggingText(last)))
}

func byText(name string) string {
	if name == "" {
		return ""
	}
	return ", planned by " + name
}

// printUpdate writes an update as one line of text or JSON, or as a YAML document.
func (a *app) printUpdate(u *operatorv1.FollowUpdate) error {
	if a.output != "table" {
		return a.printLine(u)
	}
	state := strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(u.GetState().String(), "STATE_"), "_", " "))
	line := fmt.Sprintf("%s  %-10s  here %s, on %d entry hosts", u.GetAt().AsTime().Format(timeFormat), state, versionText(u.GetCurrent()), u.GetHostsInForce())
	switch {
	case u.GetState() == operatorv1.FollowUpdate_STATE_AWAITED:
		line += "; not published yet, or not seen by the answering host"
	case len(u.GetLagging()) > 0:
		line += "; " + laggingText(u)
	}
	_, err := fmt.Fprintln(a.env.Stdout, line)
	return err
}

func laggingText(u *operatorv1.FollowUpdate) string {
	names := make([]string, 0, len(u.GetLagging()))
	for _, h := range u.GetLagging() {
		names = append(names, h.GetHost()+" ("+h.GetReason()+")")
	}
	return fmt.Sprintf("%d lag: %s", len(names), strings.Join(names, ", "))
}

var lineJSON = protojson.MarshalOptions{UseProtoNames: true}
