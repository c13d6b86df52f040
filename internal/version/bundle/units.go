package bundle

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// VNI is the Geneve virtual network identifier of a service (RFC 8926,
// section 3.4), 1 to 2^24-1.
type VNI uint32

// MaxVNI is the largest identifier that fits the 24-bit field.
const MaxVNI VNI = 1<<24 - 1

// Zone names an availability zone.
type Zone string

// Region names a region, which consists of availability zones.
type Region string

// Version orders bundles. It grows with each roll and never decreases.
type Version uint64

// UpstreamID identifies an upstream across daemons and versions. Zero is none.
type UpstreamID uint64

// String returns the identifier in hexadecimal digits, as upstreams register it.
func (id UpstreamID) String() string { return strconv.FormatUint(uint64(id), 16) }

// UpstreamIDOf derives the identifier of an upstream from the names of its service and itself.
func UpstreamIDOf(service, name string) UpstreamID {
	return UpstreamID(xxhash.Sum64String(service + "/" + name))
}

// Duration is a time span that is encoded as a Go duration string, such as "1.5s".
type Duration time.Duration

// UnmarshalJSON decodes a duration string such as "250ms". It refuses a bare number, since its unit is unknown.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return eris.New(`want a duration with its unit, such as "250ms"`)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return eris.Wrap(err, "parse duration")
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON encodes the duration with its unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Protocol names what the flows of a service carry.
type Protocol string

// The protocols a service can have.
const (
	ProtocolCoAP Protocol = "CoAP"
	ProtocolTCP  Protocol = "TCP"
)
