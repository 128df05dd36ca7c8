package upstream

import (
	"bufio"
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestAnswerThatEndsWithItsConnection has neither a length nor chunks.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	client := startClient(t, Config{})
	address := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX: y\r\n\r\nwho"))
		_, _ = c.Write([]byte("le"))
	})
	for range 2 {
		resp, err := client.Do(testContext(t), address, request("GET", nil))
		is.True(err == nil)
		is.Equal(string(resp.Body), "whole")
		is.Equal(resp.Header.Get("X"), "y")
	}
}

// TestResetDoesNotEndAnAnswer cuts an answer without a length by a reset.
func TestResetDoesNotEndAnAnswer(t *testing.T) {
	is := is.New(t)
	client := startClient(t, Config{})
	address := startUpstream(t, func(_ int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\npart"))
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	_, err := client.Do(testContext(t), address, request("GET", nil))
	is.True(err != nil)
}
