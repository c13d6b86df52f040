package objects

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/fescueshed/fescueshed/internal/version/transfer"
)

// Call is one HTTP call of a store.
type Call struct {
	Method string
	Path   string
	Query  url.Values
	Header http.Header
	Body   []byte
	// Timeout is how long the answer may take to begin; a connection may be dead without notice. Once the
	// answer has begun, it may take as long as data keeps arriving, up to transfer.DefaultMaxDuration.
	Timeout time.Duration
	// MaxBytes bounds the size of the answer's body, maxAnswerBytes if it is zero.
	MaxBytes int64
	// AcceptSize, if not nil, is called with the body's size in bytes, once that is known and before the
	// body is read. If it returns false, the call fails with ErrDeclined.
	AcceptSize func(size int64) bool
}

// ObjectCall returns a call for a single object, with its timeout set.
func ObjectCall() Call { return Call{Timeout: firstByteTimeout} }

// ListCall returns a call for a page of a list, with its timeout and AcceptSize set.
func ListCall(o *ListOptions) Call { return Call{Timeout: firstByteTimeout, AcceptSize: o.AcceptSize} }

// WatchCall returns a call that waits for changes, with its timeout and MaxBytes set.
func WatchCall(wait time.Duration) Call {
	return Call{Timeout: max(wait+firstByteTimeout, minWatchTimeout), MaxBytes: maxWatchBytes}
}

var (
	// ErrDeclined is returned for an answer whose size AcceptSize refused.
	ErrDeclined = eris.New("objects: answer declined because of its size")
	// ErrTooLarge is returned for an answer of more than MaxBytes.
	ErrTooLarge = eris.New("objects: the answer is too large")
)

// Answer is a store's HTTP response.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Counts counts calls by outcome. It is safe for concurrent use.
type Counts struct {
	// Calls counts all calls, Refused the answers with status 429 or 5xx, Unanswered the calls
	// without a complete answer.
	Calls, Refused, Unanswered atomic.Uint64
	// Latency holds the durations of answered calls in seconds, including the wait of watches.
	Latency metrics.Histogram
	// Answers counts the transfers of all calls, including calls without an answer.
	Answers transfer.Counts
}

// Client calls a store over HTTP. It is safe for concurrent use.
type Client struct {
	base   atomic.Pointer[string]
	http   *http.Client
	Counts Counts
}

// Limits of calls and connections.
const (
	// firstByteTimeout is how long an answer may take to begin, in addition to the wait of a watch. The
	// users' store answers in 4 ms, and in 240 ms when it is slow. A dead connection costs this long.
	firstByteTimeout = 700 * time.Millisecond
	// minWatchTimeout is how long the answer to any watch may take to begin: a store under load takes as long
	// to assemble large changes for a watch that doesn't wait.
	minWatchTimeout = 1500 * time.Millisecond
	// maxWatchBytes bounds the answer of a watch. It is more than the largest object, one megabyte. A watch
	// returns each version of an object that changed repeatedly, a list only the last. If an operator
	// changes a bundle of 600 KB ten times while the store is unavailable, a watch of all versions would
	// keep every later version out of force; after two changes, it would transfer the bundle twice over a
	// slow link. A watch above the bound fails with ErrTooLarge, so that the caller can list instead.
	maxWatchBytes = 3 << 19
	// maxAnswerBytes bounds any other answer: a page of one megabyte with its envelope.
	maxAnswerBytes = 4 << 20
	// idleTimeout closes connections that no call uses. A watch uses its connection all the time, so
	// this only closes the others that a burst of calls opened.
	idleTimeout = time.Minute
	// idleConnections is the number of idle connections that are kept, one for each kind that is watched.
	idleConnections = 3
)

// NewClient returns a client of the store at a base URL, and its clean-up function.
func NewClient(base string) (*Client, func()) {
	// Without this, the transport prepares HTTP/2 at the first call, which takes a small host some
	// milliseconds while callers wait for it to start.
	var http1 http.Protocols
	http1.SetHTTP1(true)
	t := &http.Transport{
		MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout, DisableCompression: true, Protocols: &http1,
	}
	c := &Client{http: &http.Client{Transport: t}}
	c.SetBase(base)
	return c, t.CloseIdleConnections
}

// SetBase makes later calls use another base URL.
func (c *Client) SetBase(base string) {
	base = strings.TrimSuffix(base, "/")
	c.base.Store(&base)
}

// Do makes a call. After an error, the call may or may not have taken effect. A connection whose call
// timed out isn't used again.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	at := *c.base.Load() + call.Path
	if len(call.Query) > 0 {
		at += "?" + call.Query.Encode()
	}
	c.Counts.Calls.Add(1)
	began := time.Now()
	ctx, t := c.Counts.Answers.Begin(ctx, transfer.Limits{
		FirstByteTimeout: call.Timeout, StallTimeout: transfer.DefaultStallTimeout,
	})
	r, err := http.NewRequestWithContext(ctx, call.Method, at, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, eris.Wrap(t.End(err), "store call")
	}
	if call.Header != nil {
		r.Header = call.Header
	}
	a, err := c.send(r, &call, t)
	err = t.End(err)
	if err == nil {
		c.Counts.Latency.UpdateDuration(began)
	}
	switch {
	case eris.Is(err, ErrDeclined), eris.Is(err, ErrTooLarge):
	case err != nil:
		c.Counts.Unanswered.Add(1)
	case a.Status == http.StatusTooManyRequests || a.Status >= http.StatusInternalServerError:
		c.Counts.Refused.Add(1)
	}
	return a, eris.Wrap(err, "store call")
}

func (c *Client) send(r *http.Request, call *Call, t *transfer.Transfer) (Answer, error) {
	resp, err := c.http.Do(r)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }() // The body has been read, or the call failed.
	most := call.MaxBytes
	if most == 0 {
		most = maxAnswerBytes
	}
	if resp.ContentLength > most {
		return Answer{}, ErrTooLarge
	}
	if call.AcceptSize != nil && resp.StatusCode == http.StatusOK && resp.ContentLength >= 0 &&
		!call.AcceptSize(resp.ContentLength) {
		return Answer{}, ErrDeclined
	}
	body, err := io.ReadAll(io.LimitReader(t.Reader(resp.Body), most+1))
	if err == nil && int64(len(body)) > most {
		err = ErrTooLarge
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, err
}
