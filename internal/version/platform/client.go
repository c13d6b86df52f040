// Package platform speaks to the platform's object service: objects with
// versions, conditional updates and watches over HTTP. The dialect is described
// in docs/design/002-platform.md.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
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
	ErrNotFound = eris.New("platform: no such object")
	ErrConflict = eris.New("platform: the object has another version")
)

// Paths of the service.
const (
	ObjectsPath = "/v1/objects/"
	HostsPath   = "/v1/hosts"
)

// Client calls the service. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the service at base, and its clean-up function.
func NewClient(base string) (*Client, func()) {
	t := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}
	c := &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: t}}
	return c, t.CloseIdleConnections
}

// Get reads an object. It returns ErrNotFound if there is none.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	return c.read(ctx, c.objectURL(key, nil))
}

// Watch waits for a version of the object after the given one and returns it.
// If none came within wait, it returns an object of the given version without a
// body. The connection may have gone silent, so the wait is bounded here too.
func (c *Client) Watch(ctx context.Context, key string, after ObjectVersion, wait time.Duration) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+wait/2)
	defer cancel()
	q := url.Values{
		"after": {strconv.FormatUint(uint64(after), 10)},
		"wait":  {wait.String()},
	}
	o, err := c.read(ctx, c.objectURL(key, q))
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
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, c.objectURL(key, nil), bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(err, "platform")
	}
	if version == 0 {
		r.Header.Set("If-None-Match", "*")
	} else {
		r.Header.Set("If-Match", etag(version))
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, eris.Wrap(err, "platform")
	}
	defer drain(resp)
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated:
		return parseETag(resp)
	case http.StatusPreconditionFailed:
		return 0, ErrConflict
	default:
		return 0, eris.Errorf("platform: %s", resp.Status)
	}
}

// Hosts reads the list of hosts.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	o, err := c.read(ctx, c.base+HostsPath)
	if err != nil {
		return nil, err
	}
	var hosts []Host
	return hosts, eris.Wrap(json.Unmarshal(o.Body, &hosts), "platform: hosts")
}

var errNotModified = eris.New("platform: not modified")

func (c *Client) read(ctx context.Context, at string) (Object, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, at, http.NoBody)
	if err != nil {
		return Object{}, eris.Wrap(err, "platform")
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return Object{}, eris.Wrap(err, "platform")
	}
	defer drain(resp)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return Object{}, errNotModified
	case http.StatusNotFound:
		return Object{}, ErrNotFound
	default:
		return Object{}, eris.Errorf("platform: %s", resp.Status)
	}
	version, err := parseETag(resp)
	if err != nil {
		return Object{}, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxObjectBytes+1))
	if err == nil && len(body) > MaxObjectBytes {
		err = eris.New("object is larger than the service holds")
	}
	return Object{Version: version, Body: body}, eris.Wrap(err, "platform")
}

func (c *Client) objectURL(key string, q url.Values) string {
	u := c.base + ObjectsPath + url.PathEscape(key)
	if q != nil {
		u += "?" + q.Encode()
	}
	return u
}

func etag(v ObjectVersion) string {
	return fmt.Sprintf("%q", strconv.FormatUint(uint64(v), 10))
}

func parseETag(resp *http.Response) (ObjectVersion, error) {
	v, err := strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	return ObjectVersion(v), eris.Wrap(err, "platform: version of the object")
}

// drain lets the connection be used again.
func drain(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, MaxObjectBytes))
	_ = resp.Body.Close()
}
