package store

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// Client is the object API as the rest of the system sees it.
type Client interface {
	// Get returns one object.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind.
	List(ctx context.Context, kind Kind) (List, error)
	// ListLabelled returns the objects of a kind that have the label.
	ListLabelled(ctx context.Context, kind Kind, label, value string) (List, error)
	// Create stores an object that must not exist.
	Create(ctx context.Context, o Object) (Object, error)
	// Update replaces an object if its resource version is still o's.
	Update(ctx context.Context, o Object) (Object, error)
	// Delete removes an object; a missing one is an error.
	Delete(ctx context.Context, kind Kind, name string) error
	// Watch reports changes of a kind after a resource version until the
	// stream or ctx ends. It always returns an error. Where it is made of calls
	// that end, a bookmark follows the changes of each answer.
	Watch(ctx context.Context, kind Kind, resourceVersion string, o WatchOptions, handle func(Event)) error
}

// StaleReader is a Client whose store answers some reads late for a lower price.
type StaleReader interface {
	// GetStale is Get of what the object may have been seconds ago.
	GetStale(ctx context.Context, kind Kind, name string) (Object, error)
	// ListStale is List of what may have been seconds ago, but not before the version
	// least; an older answer is an ErrOlder. Empty means any.
	ListStale(ctx context.Context, kind Kind, least string) (List, error)
}

// WatchOptions say how a watch may be served.
type WatchOptions struct {
	// AllowStale tells, before each call that the watch makes and while it waits, whether
	// changes may come seconds late, which costs some stores less; nil means that they
	// may not. It is called by several goroutines.
	AllowStale func() bool
	// Wait is how long the store may hold a call that is not behind and has nothing
	// to tell; 0 means as long as the client is set up for.
	Wait time.Duration
	// WaitNow, unless nil, is asked before each such call in place of Wait.
	WaitNow func() time.Duration
	// OnFresh is told of each answer that is not behind, also of one without
	// changes: what the handler knows then was current a moment ago. Nil tells
	// nobody.
	OnFresh func()
	// Now stamps when calls are made, in Event.AskedAt, List.AskedAt and List.BeganAt; nil stamps none.
	Now func() time.Time
}

// CallTime is when a call is made.
func (o WatchOptions) CallTime() time.Time {
	if o.Now == nil {
		return time.Time{}
	}
	return o.Now()
}

// StaleAllowed tells whether changes may come late now.
func (o WatchOptions) StaleAllowed() bool { return o.AllowStale != nil && o.AllowStale() }

func (o WatchOptions) confirm() {
	if o.OnFresh != nil {
		o.OnFresh()
	}
}

// Config sets up an HTTP client.
type Config struct {
	// URL is the base of the object API.
	URL string
	// CallTimeout bounds each call but watches.
	CallTimeout time.Duration
	// WatchWait is how long the store may hold a watch that has nothing to tell,
	// where watches are calls that end; 0 means DefaultWatchWait.
	WatchWait time.Duration
	// StaleWait is the same for a watch that may be behind; 0 means WatchWait.
	// Such a call goes on as it began, so this is also how long a watch stays
	// behind when it no longer may.
	StaleWait time.Duration
	// Calls counts calls by "VERB KIND", with "behind" where the answer may be old and
	// the phase in which they are made; nil counts nothing.
	Calls *expvar.Map
	// Phase tells in what phase of the instance's life calls are made now; nil means
	// that they are not told apart.
	Phase func() string
	// OnCall is told of each call that is made, and how long the store may hold it; nil
	// tells nobody.
	OnCall func(hold time.Duration)
	// OnAnswer is told of each answer by which the store shows that it serves
	// this instance; nil tells nobody.
	OnAnswer func()
	// Eras follows the store's eras; nil where it has none. EraOf reads the era of an answer.
	Eras  *Eras
	EraOf func(http.Header) int64
	// Transport carries the calls; nil means a transport of the client's own.
	Transport http.RoundTripper
}

// HTTPClient speaks to the object API over net/http.
type HTTPClient struct {
	base   string
	caller *Requester
}

// NewHTTPClient returns a client; it makes no call by itself.
func NewHTTPClient(cfg Config) *HTTPClient {
	return &HTTPClient{base: strings.TrimSuffix(cfg.URL, "/") + "/apis/" + APIVersion + "/", caller: NewRequester(cfg)}
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
	err := c.caller.Call(ctx, Call{Verb: http.MethodGet, Kind: kind, URL: c.base + string(kind) + query}, &page)
	return List{ResourceVersion: page.Metadata.ResourceVersion, Items: page.Items}, err
}

// Watch implements Client. Its one call is a stream, which is never behind.
func (c *HTTPClient) Watch(ctx context.Context, kind Kind, resourceVersion string, _ WatchOptions, handle func(Event)) error {
	target := c.base + string(kind) + "?watch=1&resourceVersion=" + url.QueryEscape(resourceVersion)
	resp, err := c.caller.open(ctx, Call{Verb: verbWatch, Kind: kind, URL: target})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	dec := json.NewDecoder(resp.Body)
	for {
		var e Event
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
	return c.caller.Call(ctx, Call{Verb: verb, Kind: kind, Name: name, URL: target, Body: body}, into)
}
