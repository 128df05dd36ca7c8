package kit

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// Link carries the connections of one host to one address. It can hold up the answer to one
// request, as packets that are lost and sent again do.
type Link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	held  string // part of the request whose answer is held up; empty for none
	delay time.Duration
	// onAnswer is called when the answer that is held up has left the other side.
	onAnswer func()
}

// NewLink starts a link to the "IP:port" target.
func NewLink(target string) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: ln, target: target}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(c)
		}
	}()
	return l, nil
}

// Address returns the "IP:port" at which the link is entered.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Close stops the link.
func (l *Link) Close() { _ = l.listener.Close() }

// HoldUp holds up, once, the answer to the next request whose head contains part.
func (l *Link) HoldUp(part string, delay time.Duration, onAnswer func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.delay, l.onAnswer = part, delay, onAnswer
}

// take returns the delay and the call for a request, if its answer is to be held up.
func (l *Link) take(request []byte) (time.Duration, func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == "" || !bytes.Contains(request, []byte(l.held)) {
		return 0, nil
	}
	l.held = ""
	return l.delay, l.onAnswer
}

func (l *Link) carry(in net.Conn) {
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = in.Close()
		return
	}
	holds := make(chan func(), 1) // what the next answer waits for
	go func() {
		defer func() { _ = out.Close() }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := in.Read(buffer)
			if n > 0 {
				if delay, onAnswer := l.take(buffer[:n]); onAnswer != nil {
					holds <- func() {
						onAnswer()
						time.Sleep(delay)
					}
				}
				if _, err := out.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	defer func() { _ = in.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := out.Read(buffer)
		select {
		case hold := <-holds:
			hold()
		default:
		}
		if n > 0 {
			if _, err := in.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}
