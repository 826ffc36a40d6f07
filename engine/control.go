package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// UnitReport is the state of one unit on an endpoint, as reported by the endpoint.
type UnitReport struct {
	Name     string `json:"name"`
	MemoryMB int64  `json:"memoryMB"`
	Ready    bool   `json:"ready"`
	Running  int    `json:"running"`
}

// Report is an endpoint's report of its state at ObservedAt.
type Report struct {
	Incarnation string                `json:"incarnation"`
	Epoch       int64                 `json:"epoch"`
	ObservedAt  time.Time             `json:"observedAt"`
	Running     int                   `json:"running"`
	Waiting     int                   `json:"waiting"`
	CapacityMB  int64                 `json:"capacityMB"`
	UsedMB      int64                 `json:"usedMB"`
	Units       []UnitReport          `json:"units"`
	Orders      map[string]OrderState `json:"orders"`
}

// OrderState is the state of an order at an endpoint.
type OrderState string

// States of an order at an endpoint.
const (
	OrderRunning OrderState = "running"
	OrderDone    OrderState = "done"
	OrderRefused OrderState = "refused"
)

// OrderOp is the operation that an order requests.
type OrderOp string

// Operations of orders.
const (
	OpLoad   OrderOp = "load"
	OpUnload OrderOp = "unload"
	// OpFence only raises the endpoint's epoch.
	OpFence OrderOp = "fence"
)

// Order instructs an endpoint to change the units that it holds.
type Order struct {
	ID       string  `json:"id"`
	Epoch    int64   `json:"epoch"`
	Op       OrderOp `json:"op"`
	Unit     string  `json:"unit,omitempty"`
	MemoryMB int64   `json:"memoryMB,omitempty"`
}

// maxReportBytes is the maximum size of an endpoint's report.
const maxReportBytes = 128 << 10

// Load returns the endpoint's load report, which lags behind its actual state.
func (c *Client) Load(ctx context.Context, endpoint, address string) (Report, error) {
	return c.report(ctx, endpoint, address, "/v1/load")
}

// Inventory returns the units that the endpoint holds now and the states of its orders.
func (c *Client) Inventory(ctx context.Context, endpoint, address string) (Report, error) {
	return c.report(ctx, endpoint, address, "/v1/inventory")
}

func (c *Client) report(ctx context.Context, endpoint, address, path string) (Report, error) {
	var r Report
	resp, err := c.Do(ctx, Attempt{Endpoint: endpoint, Address: address, Method: http.MethodGet, Path: path})
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return r, &UnknownError{Endpoint: endpoint, Err: &RefusalError{Status: resp.StatusCode}}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&r); err != nil {
		return r, &UnknownError{Endpoint: endpoint, Err: err}
	}
	return r, nil
}

// SendOrder sends an order. A nil error means that the endpoint has accepted the order,
// *RefusedOrderError that it never will; after any other error it may still accept it.
func (c *Client) SendOrder(ctx context.Context, endpoint, address string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return &NotStartedError{Endpoint: endpoint, Err: err}
	}
	resp, err := c.Do(ctx, Attempt{
		ID: o.ID, Endpoint: endpoint, Address: address, Method: http.MethodPost, Path: "/v1/orders",
		Header: http.Header{"Content-Type": {"application/json"}}, Body: body,
	})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusAccepted:
		return nil
	case http.StatusPreconditionFailed:
		return &RefusedOrderError{Endpoint: endpoint, Order: o}
	default:
		return &UnknownError{Endpoint: endpoint, Err: &RefusalError{Status: resp.StatusCode}}
	}
}

// RefusedOrderError is returned when an endpoint refuses an order with an old epoch.
type RefusedOrderError struct {
	Endpoint string
	Order    Order
}

// Error names the endpoint and the order.
func (e *RefusedOrderError) Error() string {
	return "endpoint " + e.Endpoint + " refused order " + e.Order.ID + ": old epoch"
}
