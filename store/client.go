package store

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// Client is the interface to the object API.
type Client interface {
	// Get returns one object.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind.
	List(ctx context.Context, kind Kind) (List, error)
	// ListLabelled returns the objects of a kind on which label has the given value.
	ListLabelled(ctx context.Context, kind Kind, label, value string) (List, error)
	// Create stores a new object. It fails if the object exists.
	Create(ctx context.Context, o Object) (Object, error)
	// Update replaces an object if its resource version still equals that of o.
	Update(ctx context.Context, o Object) (Object, error)
	// Delete deletes an object. It fails if the object does not exist.
	Delete(ctx context.Context, kind Kind, name string) error
	// Watch passes the changes of a kind after a resource version to handle until the
	// stream or ctx ends. It always returns an error. If a watch consists of long polls
	// instead of a stream, a bookmark follows the changes of each answer.
	Watch(ctx context.Context, kind Kind, resourceVersion string, o WatchOptions, handle func(Event)) error
}

// StaleReader is implemented by a Client whose store offers stale reads at a lower price.
type StaleReader interface {
	// GetStale is Get, but the object may be seconds old.
	GetStale(ctx context.Context, kind Kind, name string) (Object, error)
	// ListStale is List, but the answer may be seconds old. It returns ErrOlder if the
	// answer is older than minVersion; an empty minVersion accepts any.
	ListStale(ctx context.Context, kind Kind, minVersion string) (List, error)
}

// WatchOptions are the options of a watch.
type WatchOptions struct {
	// AllowStale reports whether changes may arrive seconds late, which some stores charge
	// less for. It is called before each call of the watch and while the watch waits, from
	// several goroutines. Nil means never.
	AllowStale func() bool
	// Wait is how long the store may hold a call that must not be stale while there are
	// no changes; 0 means the client's configured time.
	Wait time.Duration
	// WaitNow, unless nil, is called before each such call and replaces Wait.
	WaitNow func() time.Duration
	// FirstListTimeout bounds the first call for the first list, and every other one until
	// that list is read; 0 means as other calls. A call that was made while the store was
	// silent is never answered; a slow store answers the call after it.
	FirstListTimeout time.Duration
	// OnFresh, unless nil, is called for each answer that is not stale, even without
	// changes: the state known to the handler was current a moment ago.
	OnFresh func()
	// Now returns the time recorded in Event.FreshAsOf, List.FreshAsOf and
	// List.RequestedAt; nil leaves them zero.
	Now func() time.Time
}

// CallTime returns the time to record for a call made now; zero if Now is nil.
func (o WatchOptions) CallTime() time.Time {
	if o.Now == nil {
		return time.Time{}
	}
	return o.Now()
}

// StaleAllowed reports whether changes may arrive late now.
func (o WatchOptions) StaleAllowed() bool { return o.AllowStale != nil && o.AllowStale() }

func (o WatchOptions) confirm() {
	if o.OnFresh != nil {
		o.OnFresh()
	}
}

// Config configures an HTTPClient or a Requester.
type Config struct {
	// URL is the base of the object API.
	URL string
	// CallTimeout limits each call other than watches; 0 means DefaultCallTimeout.
	CallTimeout time.Duration
	// WatchWait is how long the store may hold a call of a watch without changes, if
	// watches are long polls; 0 means DefaultWatchWait.
	WatchWait time.Duration
	// StaleWait is the same for a call that may be stale; 0 means WatchWait. A call in
	// flight stays stale, so this also bounds how long a watch is stale after that is no
	// longer allowed.
	StaleWait time.Duration
	// Calls counts calls by "VERB KIND", followed by "behind" if the answer may be stale
	// and by the phase, if any; nil disables counting.
	Calls *expvar.Map
	// Phase returns the current phase of the instance's life cycle, by which calls are
	// counted; nil means that phases are not distinguished.
	Phase func() string
	// OnCall, unless nil, is called for each call, with how long the store may hold it.
	OnCall func(hold time.Duration)
	// OnAnswer, unless nil, is called for each answer that shows that the store serves
	// this instance, which is any status other than 429 and 5xx.
	OnAnswer func()
	// Eras tracks the store's eras; nil if the store has none. EraOf returns the era of an
	// answer.
	Eras  *Eras
	EraOf func(http.Header) int64
	// Transport sends the calls; nil means a new transport.
	Transport http.RoundTripper
}

// HTTPClient implements Client over net/http.
type HTTPClient struct {
	base      string
	requester *Requester
}

// NewHTTPClient returns an HTTPClient; it makes no call by itself.
func NewHTTPClient(cfg Config) *HTTPClient {
	return &HTTPClient{base: strings.TrimSuffix(cfg.URL, "/") + "/apis/" + APIVersion + "/", requester: NewRequester(cfg)}
}

// Get implements Client.
func (c *HTTPClient) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	var o Object
	err := c.call(ctx, http.MethodGet, kind, name, nil, &o)
	return o, err
}

// Create implements Client.
func (c *HTTPClient) Create(ctx context.Context, o Object) (Object, error) {
	var created Object
	err := c.write(ctx, http.MethodPost, o, "", &created)
	return created, err
}

// Update implements Client.
func (c *HTTPClient) Update(ctx context.Context, o Object) (Object, error) {
	var updated Object
	err := c.write(ctx, http.MethodPut, o, o.Metadata.Name, &updated)
	return updated, err
}

// Delete implements Client.
func (c *HTTPClient) Delete(ctx context.Context, kind Kind, name string) error {
	return c.call(ctx, http.MethodDelete, kind, name, nil, nil)
}

// List implements Client.
func (c *HTTPClient) List(ctx context.Context, kind Kind) (List, error) {
	return c.list(ctx, kind, "")
}

// ListLabelled implements Client.
func (c *HTTPClient) ListLabelled(ctx context.Context, kind Kind, label, value string) (List, error) {
	return c.list(ctx, kind, "?labelSelector="+url.QueryEscape(label+"="+value))
}

func (c *HTTPClient) list(ctx context.Context, kind Kind, query string) (List, error) {
	var page struct {
		Metadata Metadata `json:"metadata"`
		Items    []Object `json:"items"`
	}
	err := c.requester.Call(ctx, Call{Verb: http.MethodGet, Kind: kind, URL: c.base + string(kind) + query}, &page)
	return List{ResourceVersion: page.Metadata.ResourceVersion, Items: page.Items}, err
}

// Watch implements Client. It makes a single streaming call, which is never stale.
func (c *HTTPClient) Watch(ctx context.Context, kind Kind, resourceVersion string, _ WatchOptions, handle func(Event)) error {
	target := c.base + string(kind) + "?watch=1&resourceVersion=" + url.QueryEscape(resourceVersion)
	resp, err := c.requester.open(ctx, Call{Verb: verbWatch, Kind: kind, URL: target})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	event := &io.LimitedReader{R: resp.Body}
	dec := json.NewDecoder(&nestingLimiter{from: event})
	for {
		var e Event
		event.N = MaxObjectAnswerBytes
		if err := dec.Decode(&e); err != nil {
			return &UnansweredError{Kind: kind, Err: err}
		}
		handle(e)
	}
}

func (c *HTTPClient) write(ctx context.Context, verb string, o Object, name string, into *Object) error {
	body, err := json.Marshal(o)
	if err != nil {
		return &EncodeError{Kind: o.Kind, Name: o.Metadata.Name, Err: err}
	}
	return c.call(ctx, verb, o.Kind, name, body, into)
}

func (c *HTTPClient) call(ctx context.Context, verb string, kind Kind, name string, body []byte, into any) error {
	target := c.base + string(kind)
	if name != "" {
		target += "/" + url.PathEscape(name)
	}
	return c.requester.Call(ctx, Call{Verb: verb, Kind: kind, Name: name, URL: target, Body: body, MaxBytes: MaxObjectAnswerBytes}, into)
}
