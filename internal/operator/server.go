package operator

import (
	"context"
	"slices"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
	"github.com/dapplespindle/dapplespindle/pkg/config"
	"github.com/dapplespindle/dapplespindle/pkg/plan"
)

// Defaults for Config.
const (
	DefaultPollInterval = 100 * time.Millisecond
	DefaultPeerTimeout  = time.Second
)

// Config configures a Server. Every interface is required.
type Config struct {
	// Host identifies this entry host, as in its events.
	Host string
	// Build is the version of the program.
	Build string
	// Source provides the current configuration.
	Source ConfigSource
	// Fleet provides the entry hosts.
	Fleet FleetView
	// Local provides the metrics of this process.
	Local HostView
	// Upstreams provides the upstreams.
	Upstreams UpstreamView
	// Events provides the decision events.
	Events EventStore
	// Peers queries the other entry hosts.
	Peers Peers
	// PollInterval is the interval at which Follow checks the fleet. Default: 100ms.
	PollInterval time.Duration
	// PeerTimeout is the timeout for querying a peer. Default: 1s.
	PeerTimeout time.Duration
}

// Server implements the Operator and Peer services.
type Server struct {
	operatorv1.UnimplementedOperatorServer
	operatorv1.UnimplementedPeerServer
	conf    Config
	history *history
}

// New returns a server; Register and RegisterPeer add it to gRPC servers.
func New(c Config) *Server {
	if c.PollInterval <= 0 {
		c.PollInterval = DefaultPollInterval
	}
	if c.PeerTimeout <= 0 {
		c.PeerTimeout = DefaultPeerTimeout
	}
	return &Server{conf: c, history: newHistory()}
}

// Register registers the Operator service on the gRPC server for operators.
func (s *Server) Register(r grpc.ServiceRegistrar) { operatorv1.RegisterOperatorServer(r, s) }

// RegisterPeer registers the Peer service on the gRPC server for peers.
func (s *Server) RegisterPeer(r grpc.ServiceRegistrar) { operatorv1.RegisterPeerServer(r, s) }

// state returns the current configuration and adds its versions to the history.
func (s *Server) state() (*plan.State, error) {
	state := s.conf.Source.Current()
	if state == nil {
		return nil, status.Error(codes.Unavailable, "no configuration is in force on this entry host yet")
	}
	s.history.observe(state)
	return state, nil
}

// ListServices implements operatorv1.OperatorServer.
func (s *Server) ListServices(context.Context, *operatorv1.ListServicesRequest) (*operatorv1.ListServicesResponse, error) {
	state, err := s.state()
	if err != nil {
		return nil, err
	}
	out := &operatorv1.ListServicesResponse{Revision: state.Revision}
	for _, d := range sortedDocuments(state) {
		out.Services = append(out.Services, summary(&d))
	}
	return out, nil
}

// DescribeService implements operatorv1.OperatorServer.
func (s *Server) DescribeService(_ context.Context, req *operatorv1.DescribeServiceRequest) (*operatorv1.DescribeServiceResponse, error) {
	state, err := s.state()
	if err != nil {
		return nil, err
	}
	doc := state.Find(req.GetName())
	if doc == nil {
		return nil, toStatus(&plan.NotFoundError{Kind: "service", Name: req.GetName()})
	}
	text, err := plan.Encode(doc.Service)
	if err != nil {
		return nil, toStatus(err)
	}
	return &operatorv1.DescribeServiceResponse{
		Key:      plan.Key(doc.Service.Name),
		Version:  version(doc),
		Document: text,
	}, nil
}

// Upstreams implements operatorv1.OperatorServer.
func (s *Server) Upstreams(_ context.Context, req *operatorv1.UpstreamsRequest) (*operatorv1.UpstreamsResponse, error) {
	return &operatorv1.UpstreamsResponse{
		Host:      s.conf.Host,
		Upstreams: s.conf.Upstreams.Upstreams(req.GetService()),
	}, nil
}

func sortedDocuments(state *plan.State) []plan.Document {
	docs := slices.Clone(state.Documents)
	slices.SortFunc(docs, func(a, b plan.Document) int { return strings.Compare(a.Service.Name, b.Service.Name) })
	return docs
}

func summary(d *plan.Document) *operatorv1.ServiceSummary {
	out := &operatorv1.ServiceSummary{
		Name:       d.Service.Name,
		Version:    version(d),
		Host:       d.Service.Match.Host,
		PathPrefix: d.Service.Match.PathPrefix,
		Groups:     uint32(len(d.Service.Groups)),
		Rules:      uint32(len(d.Service.Rules)),
	}
	for i := range d.Service.Groups {
		for j := range d.Service.Groups[i].Upstreams {
			if d.Service.Groups[i].Upstreams[j].State == config.Active {
				out.UpstreamsActive++
			} else {
				out.UpstreamsDraining++
			}
		}
	}
	return out
}

func version(d *plan.Document) *operatorv1.Version {
	if d == nil {
		return &operatorv1.Version{}
	}
	return &operatorv1.Version{Revision: d.Revision, Digest: plan.Digest(d.Service)}
}
