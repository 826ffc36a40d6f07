package store

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"io"
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
	// stream or ctx ends. It always returns an error.
	Watch(ctx context.Context, kind Kind, resourceVersion string, handle func(Event)) error
}

// Config sets up an HTTP client.
type Config struct {
	// URL is the base of the object API.
	URL string
	// CallTimeout bounds each call but watches.
	CallTimeout time.Duration
	// Calls counts calls by "VERB KIND"; nil counts nothing.
	Calls *expvar.Map
	// Transport carries the calls; nil means a transport of the client's own.
	Transport http.RoundTripper
}

// DefaultCallTimeout bounds a call where Config does not.
const DefaultCallTimeout = 2 * time.Second

// HTTPClient speaks to the object API over net/http.
type HTTPClient struct {
	base    string
	timeout time.Duration
	calls   *expvar.Map
	http    *http.Client
}

// NewHTTPClient returns a client; it makes no call by itself.
func NewHTTPClient(cfg Config) *HTTPClient {
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
	}
	return &HTTPClient{
		base:    strings.TrimSuffix(cfg.URL, "/") + "/apis/" + APIVersion + "/",
		timeout: cfg.CallTimeout,
		calls:   cfg.Calls,
		http:    &http.Client{Transport: cfg.Transport},
	}
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
	err := c.callTarget(ctx, http.MethodGet, kind, "", c.base+string(kind)+query, nil, &page)
	return List{ResourceVersion: page.Metadata.ResourceVersion, Items: page.Items}, err
}

// Watch implements Client.
func (c *HTTPClient) Watch(ctx context.Context, kind Kind, resourceVersion string, handle func(Event)) error {
	c.count("WATCH", kind)
	target := c.base + string(kind) + "?watch=1&resourceVersion=" + url.QueryEscape(resourceVersion)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return &EncodeError{Kind: kind, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return &UnansweredError{Kind: kind, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(resp, kind, "")
	}
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
	return c.callTarget(ctx, verb, kind, name, target, body, into)
}

func (c *HTTPClient) callTarget(ctx context.Context, verb string, kind Kind, name, target string, body []byte, into any) error {
	c.count(verb, kind)
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, verb, target, bytes.NewReader(body))
	if err != nil {
		return &EncodeError{Kind: kind, Name: name, Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return &UnansweredError{Kind: kind, Name: name, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusInternalServerError {
		return &UnansweredError{Kind: kind, Name: name, Err: statusError(resp, kind, name)}
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return statusError(resp, kind, name)
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(into); err != nil {
		return &UnansweredError{Kind: kind, Name: name, Err: err}
	}
	return nil
}

// maxAnswerBytes bounds what is read of an answer; a list of many objects is
// larger than one object.
const maxAnswerBytes = 64 * MaxObjectBytes

// maxMessageBytes bounds what is kept of an error's text.
const maxMessageBytes = 512

func statusError(resp *http.Response, kind Kind, name string) error {
	message, _ := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	return &StatusError{Code: resp.StatusCode, Kind: kind, Name: name, Message: strings.TrimSpace(string(message))}
}

func (c *HTTPClient) count(verb string, kind Kind) {
	if c.calls != nil {
		c.calls.Add(verb+" "+string(kind), 1)
	}
}
