// Package bind opens the sockets of a daemon before the daemon starts anything else, so that it serves
// either on all of its addresses or not at all.
package bind

import "github.com/cockroachdb/errors"

// Binder is a server that has not started yet.
type Binder interface {
	// Bind opens the server's sockets. The error names the address.
	Bind() error
	// Unbind closes them again.
	Unbind()
}

// Socket is a server and the setting that names its address.
type Socket struct {
	Setting string
	Server  Binder
}

// All opens all sockets. The error names the setting, the address and the reason; no socket is open then.
func All(sockets ...Socket) error {
	for i, s := range sockets {
		if err := s.Server.Bind(); err != nil {
			for _, bound := range sockets[:i] {
				bound.Server.Unbind()
			}
			return errors.Wrap(err, s.Setting)
		}
	}
	return nil
}
