package httpwire

// Attribution says which request a response from an upstream belongs to, as far as the response tells.
type Attribution uint8

// The attributions of a response.
const (
	// Named responses name the request in flight, or come from upstreams that name none.
	Named Attribution = iota
	// Unnamed responses name no request.
	Unnamed
	// UnnamedRefusal responses name no request, and state that it did not run.
	UnnamedRefusal
	// Foreign responses belong to another request.
	Foreign
)
