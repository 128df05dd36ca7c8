package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/dapplespindle/dapplespindle/internal/standin"
)

// publishCommand publishes the service documents of the two reference deployments
// to the stand-in platform, as an operator would.
func publishCommand() *cobra.Command {
	var base string
	cmd := &cobra.Command{
		Use:   "publish",
		Short: "Publish the service documents of the two reference deployments",
		RunE: func(*cobra.Command, []string) error {
			for _, d := range standin.Deployments {
				if err := publish(base, d); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&base, "platform", "http://127.0.0.1:7000", "base URL of the platform")
	return cmd
}

func publish(base string, d standin.Deployment) error {
	body, err := json.Marshal(d.Document())
	if err != nil {
		return errors.Wrap(err, d.Name)
	}
	req, err := http.NewRequest(http.MethodPut, base+"/v1/config/services/"+d.Name, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, d.Name)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, d.Name)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s: platform answered %s", d.Name, resp.Status)
	}
	fmt.Println("published services/" + d.Name)
	return nil
}

// deploymentsCommand serves the upstreams of all services in standin.Deployments.
func deploymentsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "deployments",
		Short: "Serve the upstreams of the two reference deployments on loopback addresses",
		RunE: func(*cobra.Command, []string) error {
			errs := make(chan error, 1)
			for _, d := range standin.Deployments {
				for _, cu := range d.Document().Groups[0].Upstreams {
					u := standin.NewUpstream(cu.ID, cu.Slots, d.MeanServiceTime)
					go func() { errs <- http.ListenAndServe(cu.Address, u.Handler()) }()
				}
			}
			return <-errs
		},
	}
}
