package fault

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// RawServer is an HTTP server that answers with any bytes.
type RawServer struct {
	listener net.Listener
	respond  func(n int, req *fasthttp.Request) (answer string, more bool)
	conns    atomic.Int64
}

// StartRawServer starts a server on a free port of 127.0.0.1. respond returns the bytes that answer a request, the nth on
// its connection from 0 on, and whether the connection stays open for more.
func StartRawServer(respond func(n int, req *fasthttp.Request) (answer string, more bool)) (*RawServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &RawServer{listener: listener, respond: respond}
	go s.accept()
	return s, nil
}

// Addr returns the address of the server.
func (s *RawServer) Addr() string { return s.listener.Addr().String() }

// Conns returns the number of connections that the server has accepted.
func (s *RawServer) Conns() int64 { return s.conns.Load() }

// Close stops accepting connections. Open ones stay.
func (s *RawServer) Close() error { return s.listener.Close() }

// accept serves connections until the server is closed.
func (s *RawServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Add(1)
		go s.serve(c)
	}
}

// serve answers the requests of a connection until either side ends it.
func (s *RawServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		var req fasthttp.Request
		if err := req.Read(br); err != nil {
			return
		}
		answer, more := s.respond(n, &req)
		if _, err := io.WriteString(c, answer); err != nil || !more {
			return
		}
	}
}
