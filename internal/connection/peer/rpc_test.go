package peer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/transfer"
)

// answerSlowly answers one call in parts, a tenth of a second apart, and stops after some of them.
func answerSlowly(t *testing.T, parts, stopAfter int) netip.AddrPort {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	result, _ := json.Marshal(strings.Repeat("x", parts*100)) // A string always encodes.
	body := fmt.Sprintf(`{"jsonrpc":"2.0","id":0,"result":%s}`, result)
	answer := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return // The test ended.
		}
		size := len(answer)/parts + 1
		for i := range parts {
			if i == stopAfter {
				break
			}
			if _, err := c.Write([]byte(answer[i*size : min(len(answer), (i+1)*size)])); err != nil {
				return // The caller gave up.
			}
			time.Sleep(100 * time.Millisecond)
		}
		<-t.Context().Done()
		_ = c.Close()
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// A bundle never reaches a daemon of either carriage that is behind a thin link: what another one tells
// takes longer than the call may take, and is thrown away though it was coming.
func TestCallRPC(t *testing.T) {
	const parts = 20
	limits := transfer.Limits{FirstByteTimeout: time.Second, StallTimeout: time.Second}
	for name, tc := range map[string]struct {
		stopAfter int
		want      error
	}{
		"takes an answer that goes on coming":   {stopAfter: parts},
		"gives up an answer that stops":         {stopAfter: 3, want: transfer.ErrStalled},
		"gives up an answer that doesn't begin": {stopAfter: 0, want: transfer.ErrStalled},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var counts transfer.Counts
			to := answerSlowly(t, parts, tc.stopAfter)
			got, _, err := peer.CallRPC[string](context.Background(), to, peer.RPC{Method: "Any"}, limits, &counts)
			if tc.want != nil {
				g.Expect(err).To(MatchError(tc.want))
				g.Expect(counts.Wasted.Load()).To(Equal(counts.Bytes.Load()))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got).To(HaveLen(parts * 100))
		})
	}
}
