package cookiedaemon

import (
	"errors"
	"net"
	"syscall"
)

// dialOutcome is what an attempt to connect shows of the other side.
type dialOutcome uint8

const (
	// dialUnknown: the attempt failed on this host, or for a reason that shows nothing.
	dialUnknown dialOutcome = iota
	// dialAccepted: a process accepted the connection. It may have reset it at once, as an upstream does that holds as
	// many connections as it can.
	dialAccepted
	// dialRefused: nothing listens at the address.
	dialRefused
	// dialSilent: nothing came back in time.
	dialSilent
)

// outcomeOf returns what the error of an attempt to connect, or nil, shows of the other side. An error counts as silence only
// if it is known to be that: others, such as a lack of ports or descriptors, would make live upstreams dead.
func outcomeOf(err error) dialOutcome {
	var ne net.Error
	switch {
	case err == nil, errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return dialAccepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return dialRefused
	case errors.Is(err, syscall.ETIMEDOUT), errors.Is(err, syscall.EHOSTUNREACH), errors.As(err, &ne) && ne.Timeout():
		return dialSilent
	}
	return dialUnknown
}
