package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sentPiece is what a caller sends at a time, and sendPause how long it waits in between.
const (
	sentPiece = 1 << 10
	sendPause = 100 * time.Millisecond
)

// refusedRequest is a request that is refused before it has been read to its end.
type refusedRequest struct {
	name, begin string
	status      int
	whole       bool // it is whole; the refusal ends the connection all the same
}

func refusedRequests() []refusedRequest {
	const head = "POST / HTTP/1.1\r\nHost: a\r\n"
	return []refusedRequest{
		{name: "large body", begin: head + "Content-Length: 99999999\r\n\r\n", status: http.StatusRequestEntityTooLarge},
		{name: "large chunk", begin: head + "Transfer-Encoding: chunked\r\n\r\n5f5e0ff\r\n", status: http.StatusRequestEntityTooLarge},
		{name: "large body, expects 100", begin: head + "Expect: 100-continue\r\nContent-Length: 99999999\r\n\r\n", status: http.StatusRequestEntityTooLarge},
		{name: "large header", begin: head + "X-Large: " + strings.Repeat("x", 2*defaultHeaderBytes), status: http.StatusRequestHeaderFieldsTooLarge},
		{name: "two lengths", begin: head + "Content-Length: 99999999\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", status: http.StatusBadRequest},
		{name: "broken chunk", begin: head + "Transfer-Encoding: chunked\r\n\r\nx\r\n", status: http.StatusBadRequest},
		{name: "whole request, last of its connection", begin: head + "Connection: close\r\nContent-Length: 0\r\n\r\n", status: http.StatusBadRequest, whole: true},
	}
}

// pausing is the name of a sender that is silent for longer than a connection lingers behind a whole request.
const pausing = "after a pause"

// senders are the ways in which a caller goes on sending a request that has been refused. They return when all is sent.
func senders() map[string]func(conn net.Conn) error {
	return map[string]func(conn net.Conn) error{
		"nothing": func(net.Conn) error { return nil },
		"slowly":  func(conn net.Conn) error { return sendPieces(conn, 25) },
		pausing: func(conn net.Conn) error {
			time.Sleep(1800 * time.Millisecond)
			return sendPieces(conn, 5)
		},
		"much": func(conn net.Conn) error {
			_, err := io.Copy(conn, strings.NewReader(strings.Repeat("x", 24<<20)))
			return err
		},
	}
}

// sendPieces sends n pieces with pauses.
func sendPieces(conn net.Conn, n int) error {
	for range n {
		if _, err := io.WriteString(conn, strings.Repeat("x", sentPiece)); err != nil {
			return err
		}
		time.Sleep(sendPause)
	}
	return nil
}

// TestRefusalIsLostToAReset guards against a connection that is reset while the caller still sends the request that was
// refused, so that it sees an error in place of the refusal.
func TestRefusalIsLostToAReset(t *testing.T) {
	_, addr := newRefusingServer(t)
	for _, request := range refusedRequests() {
		for sending, send := range senders() {
			if request.whole && sending == pausing {
				continue // nothing is due in the pause, so that the caller is to close the connection
			}
			for _, connection := range []string{"new", "kept", "pipelined"} {
				t.Run(fmt.Sprintf("%s/sends %s/%s", request.name, sending, connection), func(t *testing.T) {
					t.Parallel()
					c := newKeepAliveClient(t, addr)
					before := ""
					switch connection {
					case "kept":
						c.send(t)
						c.readAnswer(t)
					case "pipelined":
						before = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
					}
					_, err := io.WriteString(c.conn, before+request.begin)
					assert.NilError(t, err)
					sendErr := send(c.conn)
					if before != "" {
						assert.Assert(t, !c.readAnswer(t))
					}
					assertRefusal(t, c.r, request.status)
					assert.NilError(t, sendErr, "send the rest")
				})
			}
		}
	}
}

// assertRefusal checks that a whole refusal has arrived and that the connection ends behind it.
func assertRefusal(t *testing.T, r *bufio.Reader, status int) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	if resp.StatusCode == http.StatusContinue {
		resp, err = http.ReadResponse(r, nil)
		assert.NilError(t, err)
	}
	assert.Equal(t, resp.StatusCode, status)
	assert.Assert(t, resp.Close, "the refusal does not say that its connection ends")
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, len(body) > 0)
	_, err = r.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}
