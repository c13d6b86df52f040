// Package objects is what the product asks of an object store: kinds of objects
// that are listed, watched and written under a condition. Dialects of stores are
// codecs of it; the calls over HTTP are made in one place.
package objects
