// Package objects defines what fescueshed needs of an object store: kinds of objects that are listed, watched
// and written conditionally. Each dialect of a store implements it by encoding and decoding; Client
// makes the HTTP calls of all dialects.
package objects
