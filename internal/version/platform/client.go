// Package platform is a client of the platform's object service, which offers objects with versions, conditional
// updates and watches over HTTP.
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
	"github.com/fescueshed/fescueshed/internal/version/rawjson"
)

// ObjectVersion is the version of an object in the service. Zero means that there is no object.
type ObjectVersion uint64

// Object is a stored object.
type Object struct {
	Version ObjectVersion
	Body    []byte
}

// Host is an entry of the platform's list of hosts. The list lags behind the actual state.
type Host struct {
	Name    string
	Control netip.AddrPort
	Leaving bool
}

// MaxObjectBytes is the size of the largest object that the service stores.
const MaxObjectBytes = 1 << 20

// The errors that callers distinguish. After any other error, a write may have taken effect.
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
	client *objects.Client
}

// NewClient returns a client of the service at a base URL, and its clean-up function.
func NewClient(base string) (*Client, func()) {
	client, stop := objects.NewClient(base)
	return &Client{client: client}, stop
}

// Get reads an object. It returns ErrNotFound if there is none.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	return c.read(ctx, objects.Call{Path: objectPath(key)})
}

// Watch waits until the object has a later version than the given one, and returns it. If there is none within
// wait, it returns an Object of the given version without a body. The client bounds the wait too, since the
// connection may be dead.
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

// Put writes an object if its version is still the given one, and returns its new version. A zero version means
// that the object must not exist. It returns ErrConflict if the object has another version.
func (c *Client) Put(ctx context.Context, key string, body []byte, version ObjectVersion) (ObjectVersion, error) {
	if len(body) > MaxObjectBytes {
		return 0, eris.Errorf("platform: object has %d bytes, want at most %d", len(body), MaxObjectBytes)
	}
	h := http.Header{}
	if version == 0 {
		h.Set("If-None-Match", "*")
	} else {
		h.Set("If-Match", etag(version))
	}
	a, err := c.client.Do(ctx, objects.Call{Method: http.MethodPut, Path: objectPath(key), Header: h, Body: body})
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

// Hosts reads the platform's list of hosts. It leaves out entries that can't be decoded and returns them as findings, each
// with its place in the list.
func (c *Client) Hosts(ctx context.Context) (hosts []Host, findings []error, err error) {
	o, err := c.read(ctx, objects.Call{Path: HostsPath})
	if err != nil {
		return nil, nil, err
	}
	r := rawjson.NewReader(o.Body)
	i := 0
	r.Array(func() {
		i++
		var h Host
		if b := r.Value(); b == nil {
			return
		} else if err := json.Unmarshal(b, &h); err != nil {
			findings = append(findings, eris.Wrapf(err, "platform: host %d of the list", i))
			return
		}
		hosts = append(hosts, h)
	})
	r.End()
	return hosts, findings, eris.Wrapf(r.Err(), "platform: list of hosts, after %d entries", i)
}

var errNotModified = eris.New("platform: not modified")

func (c *Client) read(ctx context.Context, call objects.Call) (Object, error) {
	call.Method = http.MethodGet
	a, err := c.client.Do(ctx, call)
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
		err = eris.New("platform: object exceeds the service's size limit")
	}
	return Object{Version: version, Body: a.Body}, err
}

func objectPath(key string) string { return ObjectsPath + url.PathEscape(key) }

func statusError(status int) error {
	return eris.Errorf("platform: unexpected status %d %s", status, http.StatusText(status))
}

func etag(v ObjectVersion) string {
	return fmt.Sprintf("%q", strconv.FormatUint(uint64(v), 10))
}

func parseETag(h http.Header) (ObjectVersion, error) {
	v, err := strconv.ParseUint(strings.Trim(h.Get("ETag"), `"`), 10, 64)
	return ObjectVersion(v), eris.Wrap(err, "platform: parse ETag of the object")
}
