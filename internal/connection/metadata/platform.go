// Package metadata is what a daemon that carries flows by cookie asks of the platform around it: how packets are
// written, the metadata store and its kinds of objects, and who asks whether it is ready. An adapter implements it.
package metadata

import (
	"net/http"

	"github.com/fescueshed/fescueshed/internal/connection/cookie"
	"github.com/fescueshed/fescueshed/internal/connection/peer"
	"github.com/fescueshed/fescueshed/internal/version/bundle"
	"github.com/fescueshed/fescueshed/internal/version/objects"
	"github.com/fescueshed/fescueshed/internal/version/registry"
)

// Platform is how a daemon speaks to what is around it.
type Platform struct {
	Packets cookie.Codec
	// Store makes the calls that the feeds are read by.
	Store         *objects.Client
	Bundles       objects.ListWatcher[bundle.Accepted]
	Registrations objects.ListWatcher[registry.Registration]
	// Evacuations has an object for each evacuated zone.
	Evacuations objects.ListWatcher[bundle.Zone]
	// Contacts is the object by which daemons find each other.
	Contacts objects.SingleObject[peer.Contacts]
	// Readiness makes the handler that routers ask.
	Readiness func(ready func() bool) http.Handler
	// HealthID reads from a health answer which upstream gave it, zero if unknown.
	HealthID func(http.Header) bundle.UpstreamID
}
