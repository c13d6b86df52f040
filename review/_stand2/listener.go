package main

import (
	"net"
	"net/netip"
	"os"
	"runtime"
	"sync"
	"syscall"
)

// fullListener accepts the TCP connections of a backend. While the backend holds as many channels as it can, it resets a
// new connection at once.
type fullListener struct {
	fd     int
	addr   net.Addr
	full   func() bool
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func listenFull(at netip.AddrPort, full func() bool) (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	l := &fullListener{
		fd: fd, addr: net.TCPAddrFromAddrPort(at), full: full, conns: make(chan net.Conn), closed: make(chan struct{}),
	}
	for _, step := range []func() error{
		func() error { return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1) },
		// Accepted connections inherit this: their close is a reset.
		func() error {
			return syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		},
		func() error {
			return syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()})
		},
		func() error { return syscall.Listen(fd, 128) },
	} {
		if err := step(); err != nil {
			syscall.Close(fd)
			return nil, err
		}
	}
	go l.run()
	return l, nil
}

func (l *fullListener) run() {
	runtime.LockOSThread()
	for {
		c, _, err := syscall.Accept4(l.fd, syscall.SOCK_CLOEXEC)
		select {
		case <-l.closed:
			if err == nil {
				syscall.Close(c)
			}
			syscall.Close(l.fd)
			return
		default:
		}
		if err != nil {
			continue
		}
		if l.full() {
			syscall.Close(c)
			continue
		}
		syscall.SetsockoptLinger(c, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{})
		f := os.NewFile(uintptr(c), "connection")
		conn, err := net.FileConn(f)
		f.Close()
		if err != nil {
			continue
		}
		select {
		case l.conns <- conn:
		case <-l.closed:
			conn.Close()
		}
	}
}

// Accept implements net.Listener.
func (l *fullListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. New connections are refused from then on.
func (l *fullListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		syscall.Shutdown(l.fd, syscall.SHUT_RDWR)
	})
	return nil
}

// Addr implements net.Listener.
func (l *fullListener) Addr() net.Addr { return l.addr }
