// Package metadata defines what a daemon that forwards flows by cookie needs from the platform around it: the
// packet format, the metadata store with its kinds of objects, and the readiness check. An adapter implements
// it.
package metadata

import (
	"net/http"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// Platform is a daemon's interface to the platform around it.
type Platform struct {
	Packets cookie.Codec
	// Store makes the calls to the metadata store for all objects below.
	Store         *objects.Client
	Bundles       objects.ListWatcher[bundle.Accepted]
	Registrations objects.ListWatcher[registry.Registration]
	// Evacuations has one object for each evacuated zone.
	Evacuations objects.ListWatcher[bundle.Zone]
	// Contacts is the object through which daemons discover each other.
	Contacts objects.SingleObject[peer.Contacts]
	// Readiness returns the HTTP handler for the routers' readiness checks. The handler calls ready to learn
	// whether the daemon is ready.
	Readiness func(ready func() bool) http.Handler
	// HealthID returns which upstream sent a health check response, from the response's header. It returns zero
	// if that is unknown.
	HealthID func(http.Header) bundle.UpstreamID
	// RequestsAdmission reports whether one of the platform's terms, which the settings repeat as the platform
	// gives them, asks for admission control of new flows.
	RequestsAdmission func(terms []string) bool
}
