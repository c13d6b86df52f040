package cookiedaemon

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an error of this host, or an answer of a live upstream, that counts as silence and makes the upstream dead.
func TestOutcomeOfDial(t *testing.T) {
	for name, tc := range map[string]struct {
		err  error
		want dialOutcome
	}{
		"accepted":                       {err: nil, want: dialAccepted},
		"accepted, then reset":           {err: syscall.ECONNRESET, want: dialAccepted},
		"accepted, then closed":          {err: syscall.EPIPE, want: dialAccepted},
		"nothing listens":                {err: syscall.ECONNREFUSED, want: dialRefused},
		"timeout of the system":          {err: syscall.ETIMEDOUT, want: dialSilent},
		"timeout of the attempt":         {err: context.DeadlineExceeded, want: dialSilent},
		"deadline of the socket":         {err: os.ErrDeadlineExceeded, want: dialSilent},
		"no answer to the host's lookup": {err: syscall.EHOSTUNREACH, want: dialSilent},
		"the process ends":               {err: context.Canceled, want: dialUnknown},
		"no free port":                   {err: syscall.EADDRNOTAVAIL, want: dialUnknown},
		"no descriptor":                  {err: syscall.EMFILE, want: dialUnknown},
		"no descriptor in the system":    {err: syscall.ENFILE, want: dialUnknown},
		"no buffer":                      {err: syscall.ENOBUFS, want: dialUnknown},
		"no memory":                      {err: syscall.ENOMEM, want: dialUnknown},
		"no route from this host":        {err: syscall.ENETUNREACH, want: dialUnknown},
		"a local filter":                 {err: syscall.EPERM, want: dialUnknown},
		"another error":                  {err: errors.New("unexpected"), want: dialUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			err := tc.err
			var n syscall.Errno
			if errors.As(err, &n) {
				err = &net.OpError{Op: "dial", Net: "tcp4", Err: os.NewSyscallError("connect", n)}
			}
			NewWithT(t).Expect(outcomeOf(err)).To(Equal(tc.want))
		})
	}
}
