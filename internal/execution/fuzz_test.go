package execution_test

import (
	"context"
	"crypto/rand"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	executionv1 "github.com/dapplespindle/dapplespindle/api/execution/v1"
	"github.com/dapplespindle/dapplespindle/internal/execution"
	"github.com/dapplespindle/dapplespindle/internal/httpwire"
	"github.com/dapplespindle/dapplespindle/pkg/atmostonce"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

// registrar captures the server that a Service registers.
type registrar struct {
	server executionv1.ExecutionServiceServer
}

func (r *registrar) RegisterService(_ *grpc.ServiceDesc, server any) {
	r.server = server.(executionv1.ExecutionServiceServer)
}

// FuzzPeerMessages passes arbitrary messages to the calls that peers can make. No
// request may be executed, because no ticket was issued, and no hand-over may be
// accepted, because none names this incarnation.
func FuzzPeerMessages(f *testing.F) {
	sealer := atmostonce.NewSealer(freeAddress(f), 7, atmostonce.Secret{})
	seed, err := proto.Marshal(&executionv1.ExecuteRequest{Ticket: sealer.Seal(1).String(), Method: "POST", TimeoutUs: 1000})
	is.New(f).NoErr(err)
	f.Add(seed)
	adopt, err := proto.Marshal(&executionv1.AdoptRequest{Slots: []*executionv1.Slot{{LeftUs: 1, Digest: make([]byte, 32)}}})
	is.New(f).NoErr(err)
	f.Add(adopt)
	service, err := execution.New(execution.Config{
		Address: sealer.Issuer(),
		Ledger:  atmostonce.DefaultConfig(),
		Local: func(context.Context, *httpwire.Request) *httpwire.Response {
			panic("ran without a ticket")
		},
		Events: event.Discard{},
	}, rand.Reader)
	is.New(f).NoErr(err)
	var peers registrar
	service.Register(&peers)
	f.Fuzz(func(t *testing.T, b []byte) {
		var execute executionv1.ExecuteRequest
		if proto.Unmarshal(b, &execute) == nil {
			_, _ = peers.server.Execute(t.Context(), &execute)
		}
		var adopt executionv1.AdoptRequest
		if proto.Unmarshal(b, &adopt) == nil {
			_, err := peers.server.Adopt(t.Context(), &adopt)
			is.New(t).True(err != nil)
		}
	})
}
