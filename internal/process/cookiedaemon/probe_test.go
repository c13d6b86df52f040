package cookiedaemon

import (
	"net"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// A small host is short of CPU time. Connections that upstreams accepted long ago wait to be read
// by the process, while a later one's answer has been read. Guards against counting them as
// unaccepted: live upstreams would be taken for dead and their flows reset.
func TestConnectionIsUnacceptedOnlyUntilSystemAcceptsIt(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	var raw syscall.RawConn
	before := false
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		raw, before = c, unaccepted(c)
		return nil
	}}
	c, err := d.DialContext(t.Context(), "tcp4", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(before).To(BeTrue(), "its first packet hasn't been sent yet")
	g.Expect(unaccepted(raw)).To(BeFalse(), "the process hasn't read yet that it is accepted")
	g.Expect(c.Close()).To(Succeed())
	g.Expect(unaccepted(raw)).To(BeFalse(), "it is closed")
}
