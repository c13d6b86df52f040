package fabric

import (
	"net"

	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"
)

// batchConn reads or writes several datagrams with one system call, over IPv4 or IPv6.
type batchConn interface {
	ReadBatch(ms []ipv4.Message, flags int) (int, error)
	WriteBatch(ms []ipv4.Message, flags int) (int, error)
}

func newBatchConn(c *net.UDPConn) batchConn {
	if a, ok := c.LocalAddr().(*net.UDPAddr); ok && a.IP.To4() == nil {
		return ipv6.NewPacketConn(c)
	}
	return ipv4.NewPacketConn(c)
}
