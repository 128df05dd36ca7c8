package operator

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
)

// Connections provides the gRPC connections to peers. *peer.Pool implements it.
type Connections interface {
	Conn(address string) (*grpc.ClientConn, error)
}

// PeerClient implements Peers over gRPC.
type PeerClient struct {
	Connections Connections
}

func (c PeerClient) client(m Member) (operatorv1.PeerClient, error) {
	if m.State == Dead {
		return nil, errors.New("the membership says that it is dead")
	}
	conn, err := c.Connections.Conn(m.PeerAddress)
	if err != nil {
		return nil, err
	}
	return operatorv1.NewPeerClient(conn), nil
}

// Events implements Peers.
func (c PeerClient) Events(ctx context.Context, m Member, request string) ([]*operatorv1.Event, error) {
	client, err := c.client(m)
	if err != nil {
		return nil, err
	}
	resp, err := client.LookupEvents(ctx, &operatorv1.LookupEventsRequest{Request: request})
	return resp.GetEvents(), err
}

// Plans implements Peers.
func (c PeerClient) Plans(ctx context.Context, m Member, key string) ([]*operatorv1.IssuedPlan, error) {
	client, err := c.client(m)
	if err != nil {
		return nil, err
	}
	resp, err := client.LookupPlans(ctx, &operatorv1.LookupPlansRequest{Key: key})
	return resp.GetPlans(), err
}

// Status implements Peers.
func (c PeerClient) Status(ctx context.Context, m Member) (*operatorv1.HostStatus, error) {
	client, err := c.client(m)
	if err != nil {
		return nil, err
	}
	resp, err := client.DescribeHost(ctx, &operatorv1.DescribeHostRequest{})
	return resp.GetStatus(), err
}
