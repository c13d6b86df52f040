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

// Call is one call of a store.
type Call struct {
	Method string
	Path   string
	Query  url.Values
	Header http.Header
	Body   []byte
	// Timeout is how long the answer may take to begin, since the connection may have gone silent.
	// What has begun may take as long as it goes on coming.
	Timeout time.Duration
	// MaxBytes bounds the bytes of the answer, maxAnswerBytes if it is zero.
	MaxBytes int64
	// AcceptSize, if it isn't nil, is asked before the content of an answer is read, once its size in
	// bytes is known. The answer is given up with ErrDeclined if it returns false.
	AcceptSize func(size int64) bool
}

// ObjectCall returns a call of one object, with its bounds.
func ObjectCall() Call { return Call{Timeout: answerTimeout} }

// ListCall returns the call of a page of a list, with its bounds.
func ListCall(o *ListOptions) Call { return Call{Timeout: answerTimeout, AcceptSize: o.AcceptSize} }

// WatchCall returns a call that waits for changes, with its bounds.
func WatchCall(wait time.Duration) Call {
	return Call{Timeout: wait + answerTimeout, MaxBytes: maxWatchBytes}
}

var (
	// ErrDeclined is returned for an answer that AcceptSize refused.
	ErrDeclined = eris.New("objects: the answer was given up")
	// ErrTooLarge is returned for an answer of more bytes than it may have.
	ErrTooLarge = eris.New("objects: the answer is too large")
)

// Answer is what a store answered.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Counts counts calls by outcome. All are safe for concurrent use.
type Counts struct {
	// Calls counts all calls, Refused the answers of 429 and 5xx, Unanswered the calls
	// without any answer.
	Calls, Refused, Unanswered atomic.Uint64
	// Latency holds the times of answered calls in seconds, the wait of watches included.
	Latency metrics.Histogram
	// Answers counts the bytes of answers, those without any too.
	Answers transfer.Counts
}

// Client calls a store over HTTP. It is safe for concurrent use.
type Client struct {
	base   atomic.Pointer[string]
	http   *http.Client
	Counts Counts
}

// Limits of a call.
const (
	// answerTimeout is how long an answer may take to begin, beside the wait of a watch. The users'
	// store answers in 4 ms, and in 240 ms when it is slow; a silent connection costs this long.
	answerTimeout = 700 * time.Millisecond
	// maxWatchBytes bounds what a watch may bring: more than the largest object, a megabyte. A
	// watch tells each version of an object that changed again and again, a list only the last. An
	// operator who changes a bundle of 600 KB ten times while the store is away would keep every
	// later version out of force, and twice would make a thin link carry it twice.
	maxWatchBytes = 3 << 19
	// maxAnswerBytes bounds one answer: a page of a megabyte with its envelope.
	maxAnswerBytes = 4 << 20
	// idleTimeout closes connections that no call uses. A watch uses its own all
	// the time, so this only ends what a burst of calls left behind.
	idleTimeout = time.Minute
	// idleConnections keeps one connection for each kind that is watched.
	idleConnections = 3
)

// NewClient returns a caller of the store at base, and its clean-up function.
func NewClient(base string) (*Client, func()) {
	// Without this the transport gets ready for HTTP/2 at the first call, which takes a small
	// host some milliseconds while callers wait for it to start.
	var http1 http.Protocols
	http1.SetHTTP1(true)
	t := &http.Transport{
		MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout, DisableCompression: true, Protocols: &http1,
	}
	c := &Client{http: &http.Client{Transport: t}}
	c.SetBase(base)
	return c, t.CloseIdleConnections
}

// SetBase makes later calls go to the store at base.
func (c *Client) SetBase(base string) {
	base = strings.TrimSuffix(base, "/")
	c.base.Store(&base)
}

// Do makes a call. An error means that nothing is known of its effect. A
// connection whose call timed out isn't used again.
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
	defer func() { _ = resp.Body.Close() }() // The body was read or the call failed.
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
