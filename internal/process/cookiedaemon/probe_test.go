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

// Guards against counting a connection as unaccepted that a full upstream accepted and reset, before the process has read that.
func TestConnectionThatIsResetIsNotUnaccepted(t *testing.T) {
	g := NewWithT(t)
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	c, err := net.Dial("tcp4", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	raw, err := c.(*net.TCPConn).SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	peer, err := l.AcceptTCP()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(peer.SetLinger(0)).To(Succeed())
	g.Expect(peer.Close()).To(Succeed())
	_, err = c.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
	g.Expect(unaccepted(raw)).To(BeFalse())
}
