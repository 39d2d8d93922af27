package main

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
)

// ingress is the platform's address for clients: it forwards each new channel to one gateway. It can
// reset a channel before anything has been forwarded on it.
type ingress struct {
	*machine  // the gateway; ip is that of the ingress
	listener  net.Listener
	resetNext atomic.Bool
}

// newIngress returns an ingress in front of a gateway.
func (s *scene) newIngress(to *machine) (*ingress, error) {
	at := &machine{process: to.process, zone: to.zone, ip: s.network + ".6"}
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", at.ip, frontPort))
	if err != nil {
		return nil, err
	}
	in := &ingress{machine: at, listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // closed
			}
			if in.resetNext.CompareAndSwap(true, false) {
				_ = conn.(*net.TCPConn).SetLinger(0) // makes Close reset the connection
				_ = conn.Close()
				s.rec.printf("ingress: a channel to %s is reset before a request has passed", to.name)
				continue
			}
			go relay(conn, to.front())
		}
	}()
	return in, nil
}

// relay copies both directions of a channel until one of them ends.
func relay(client net.Conn, address string) {
	defer client.Close()
	gateway, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer gateway.Close()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{gateway, client}, {client, gateway}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1]) // ends with either connection
			done <- struct{}{}
		}()
	}
	<-done
}
