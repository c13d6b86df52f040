package carrier

import (
	"net"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// A small host is short of processor time. Connections that upstreams accepted long ago wait to be read, while a later one's
// answer has been: if they counted as left open, live upstreams would be taken for dead and their flows reset.
func TestConnectionWaitsOnlyUntilTheSystemHasItAccepted(t *testing.T) {
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
	g.Expect(before).To(BeTrue(), "its first packet isn't out yet")
	g.Expect(unaccepted(raw)).To(BeFalse(), "nobody has read that it is accepted")
	g.Expect(c.Close()).To(Succeed())
	g.Expect(unaccepted(raw)).To(BeFalse(), "it is over")
}
