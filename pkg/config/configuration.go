package config

import "time"

// Configuration is the full published configuration under one version. It is
// applied as a whole.
type Configuration struct {
	// Version orders configurations. It increases, but not by a constant step.
	Version  uint64
	Services []*Service
	// Callers limits what callers may send; nil keeps the host's own settings.
	Callers *CallerLimits
	// Keyed requires callers to send a customer's key with each request, unless its
	// service is public.
	Keyed bool
	// Customers are the customers whose keys are accepted.
	Customers []Customer
	// UnreadKeys is the reason why some keys could not be read; empty if all were. Any key
	// that no customer has may then be one of these, and is refused without being called
	// unknown.
	UnreadKeys string `json:",omitempty"`
}

// CallerLimits limits what one caller may send.
type CallerLimits struct {
	// HeadBytes is the maximum size of a request head, in bytes.
	HeadBytes int
	// BodyBytes is the maximum size of a request body, in bytes.
	BodyBytes int
	// HeadTimeout bounds the time to receive a request head.
	HeadTimeout time.Duration
	// IdleTimeout is how long a connection may be idle between two requests.
	IdleTimeout time.Duration
}

// Validate reports the first field that is out of range, as a *FieldError.
func (c *Configuration) Validate() error {
	if c.Version == 0 {
		return &FieldError{"version", "is 0", "versions start at 1"}
	}
	for _, s := range c.Services {
		if s == nil {
			return &FieldError{"services", "has an empty entry", "leave it out"}
		}
		if err := s.Validate(); err != nil {
			return err
		}
	}
	if err := c.validateCustomers(); err != nil {
		return err
	}
	if c.Callers == nil {
		return nil
	}
	return c.Callers.Validate()
}

// Validate reports the first field that is out of range, as a *FieldError.
func (l *CallerLimits) Validate() error {
	switch {
	case l.HeadBytes < 1:
		return &FieldError{"callers.head_bytes", "is not positive", "write a number of bytes"}
	case l.BodyBytes < 1:
		return &FieldError{"callers.body_bytes", "is not positive", "write a number of bytes"}
	case l.HeadTimeout <= 0:
		return &FieldError{"callers.head_timeout", "is not positive", "write a duration"}
	case l.IdleTimeout <= 0:
		return &FieldError{"callers.idle_timeout", "is not positive", "write a duration"}
	}
	return nil
}
