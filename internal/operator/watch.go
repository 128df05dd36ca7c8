package operator

import (
	"google.golang.org/grpc"

	operatorv1 "github.com/dapplespindle/dapplespindle/api/operator/v1"
	"github.com/dapplespindle/dapplespindle/pkg/event"
)

const (
	// maxRecent is the maximum number of past events that a watch starts with.
	maxRecent = 1000
	// watchBuffer is the number of events that are buffered for a slow watcher.
	watchBuffer = 4096
)

// Watch implements operatorv1.OperatorServer.
func (s *Server) Watch(req *operatorv1.WatchRequest, stream grpc.ServerStreamingServer[operatorv1.WatchResponse]) error {
	f, err := parseFilter(req.GetFilter())
	if err != nil {
		return err
	}
	sub := s.conf.Events.Subscribe(f, watchBuffer)
	defer sub.Close()
	past := s.conf.Events.Recent(f, int(min(req.GetRecent(), maxRecent)))
	sent := make(map[event.Event]bool, len(past))
	for i := range past {
		sent[past[i]] = true
		if err := sendEvent(stream, &past[i], 0); err != nil {
			return err
		}
	}
	for {
		select {
		case <-stream.Context().Done():
			return nil
		case e := <-sub.C:
			if sent[e] {
				continue
			}
			if err := sendEvent(stream, &e, sub.Dropped()); err != nil {
				return err
			}
		}
	}
}

func sendEvent(stream grpc.ServerStreamingServer[operatorv1.WatchResponse], e *event.Event, missed uint64) error {
	return stream.Send(&operatorv1.WatchResponse{Event: eventMessage(e), Missed: missed})
}
