package kqrawserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
)

// maxExchange bounds the time of a connection, also of one on which no request comes.
const maxExchange = 10 * time.Second

// Server answers one request on each connection.
type Server struct {
	listener net.Listener
	response []byte
	endless  []byte
	group    conc.WaitGroup
}

// Start starts a server on loopback that answers each request with the response, goes on with
// endless, if it is not empty, until its client closes the connection or 10 s have passed, and then closes it too.
func Start(response, endless string) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{listener: l, response: []byte(response), endless: []byte(endless)}
	s.group.Go(s.accept)
	return s, nil
}

// URL returns the server's URL, without a path.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Close stops the server and waits until its connections are closed.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.group.Wait()
	if err != nil {
		return fmt.Errorf("close listener: %w", err)
	}
	return nil
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.group.Go(func() { s.serve(c) })
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(maxExchange)); err != nil {
		return
	}
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	_, err = c.Write(s.response)
	for err == nil && len(s.endless) > 0 {
		_, err = c.Write(s.endless)
	}
}
