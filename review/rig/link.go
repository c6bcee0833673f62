package rig

import (
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Link is a TCP proxy before the store, by which a script cuts one host off from it.
type Link struct {
	// Address is where the host reaches the store.
	Address string

	target   string
	listener net.Listener
	mu       sync.Mutex
	isCut    bool
	open     map[net.Conn]struct{}
}

// StartLink starts a link to an address.
func StartLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	l := &Link{
		Address:  listener.Addr().String(),
		target:   target,
		listener: listener,
		open:     make(map[net.Conn]struct{}),
	}
	go l.accept()
	return l, nil
}

// Close ends the link.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.SetCut(true)
}

// SetCut cuts the link, which resets its connections and each new one, or heals it.
func (l *Link) SetCut(isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = isCut
	if !isCut {
		return
	}
	for conn := range l.open {
		reset(conn)
	}
	clear(l.open)
}

func reset(conn net.Conn) {
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0) // the connection is closed in any case
	}
	_ = conn.Close()
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.pass(conn)
	}
}

func (l *Link) pass(conn net.Conn) {
	server, err := net.Dial("tcp", l.target)
	if err != nil || !l.add(conn, server) {
		reset(conn)
		if err == nil {
			_ = server.Close()
		}
		return
	}
	go copyAndClose(server, conn)
	copyAndClose(conn, server)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, conn)
	delete(l.open, server)
}

// add reports whether the link isn't cut.
func (l *Link) add(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		if !l.isCut {
			l.open[conn] = struct{}{}
		}
	}
	return !l.isCut
}

func copyAndClose(to, from net.Conn) {
	_, _ = io.Copy(to, from) // an error means that one of them has ended
	_ = to.Close()
	_ = from.Close()
}
