// Package platform speaks to the platform's object service: objects with
// versions, conditional updates and watches over HTTP. The dialect is described
// in docs/design/002-platform.md.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/objects"
)

// ObjectVersion is the version of an object in the service. Zero is none.
type ObjectVersion uint64

// Object is a stored value.
type Object struct {
	Version ObjectVersion
	Body    []byte
}

// Host is an entry of the platform's list of hosts, which lags.
type Host struct {
	Name    string
	Control netip.AddrPort
	Leaving bool
}

// MaxObjectBytes is the largest value that the service holds.
const MaxObjectBytes = 1 << 20

// The outcomes that callers tell apart. After any other error a write may have
// taken effect.
var (
	ErrNotFound = objects.ErrNotFound
	ErrConflict = objects.ErrConflict
)

// Paths of the service.
const (
	ObjectsPath = "/v1/objects/"
	HostsPath   = "/v1/hosts"
)

// Client calls the service. It is safe for concurrent use.
type Client struct {
	calls *objects.Client
}

// NewClient returns a client of the service at base, and its clean-up function.
func NewClient(base string) (*Client, func()) {
	calls, stop := objects.NewClient(base)
	return &Client{calls: calls}, stop
}

// Get reads an object. It returns ErrNotFound if there is none.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	return c.read(ctx, objects.Call{Path: objectPath(key)})
}

// Watch waits for a version of the object after the given one and returns it.
// If none came within wait, it returns an object of the given version without a
// body. The connection may have gone silent, so the wait is bounded here too.
func (c *Client) Watch(ctx context.Context, key string, after ObjectVersion, wait time.Duration) (Object, error) {
	q := url.Values{
		"after": {strconv.FormatUint(uint64(after), 10)},
		"wait":  {wait.String()},
	}
	o, err := c.read(ctx, objects.Call{Path: objectPath(key), Query: q, Timeout: wait + wait/2})
	if eris.Is(err, errNotModified) {
		return Object{Version: after}, nil
	}
	return o, err
}

// Put writes an object if its version is still the given one; zero means that
// there must be none. It returns ErrConflict if the version is another.
func (c *Client) Put(ctx context.Context, key string, body []byte, version ObjectVersion) (ObjectVersion, error) {
	if len(body) > MaxObjectBytes {
		return 0, eris.Errorf("platform: %d bytes are too many for an object, at most %d", len(body), MaxObjectBytes)
	}
	h := http.Header{}
	if version == 0 {
		h.Set("If-None-Match", "*")
	} else {
		h.Set("If-Match", etag(version))
	}
	a, err := c.calls.Do(ctx, objects.Call{Method: http.MethodPut, Path: objectPath(key), Header: h, Body: body})
	if err != nil {
		return 0, err
	}
	switch a.Status {
	case http.StatusOK, http.StatusCreated:
		return parseETag(a.Header)
	case http.StatusPreconditionFailed:
		return 0, ErrConflict
	default:
		return 0, statusError(a.Status)
	}
}

// Hosts reads the list of hosts.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	o, err := c.read(ctx, objects.Call{Path: HostsPath})
	if err != nil {
		return nil, err
	}
	var hosts []Host
	return hosts, eris.Wrap(json.Unmarshal(o.Body, &hosts), "platform: hosts")
}

var errNotModified = eris.New("platform: not modified")

func (c *Client) read(ctx context.Context, call objects.Call) (Object, error) {
	call.Method = http.MethodGet
	a, err := c.calls.Do(ctx, call)
	if err != nil {
		return Object{}, err
	}
	switch a.Status {
	case http.StatusOK:
	case http.StatusNotModified:
		return Object{}, errNotModified
	case http.StatusNotFound:
		return Object{}, ErrNotFound
	default:
		return Object{}, statusError(a.Status)
	}
	version, err := parseETag(a.Header)
	if err == nil && len(a.Body) > MaxObjectBytes {
		err = eris.New("platform: object is larger than the service holds")
	}
	return Object{Version: version, Body: a.Body}, err
}

func objectPath(key string) string { return ObjectsPath + url.PathEscape(key) }

func statusError(status int) error {
	return eris.Errorf("platform: %d %s", status, http.StatusText(status))
}

func etag(v ObjectVersion) string {
	return fmt.Sprintf("%q", strconv.FormatUint(uint64(v), 10))
}

func parseETag(h http.Header) (ObjectVersion, error) {
	v, err := strconv.ParseUint(strings.Trim(h.Get("ETag"), `"`), 10, 64)
	return ObjectVersion(v), eris.Wrap(err, "platform: version of the object")
}
