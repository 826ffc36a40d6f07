package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// UnitReport is one unit on an endpoint, as the endpoint tells it.
type UnitReport struct {
	Name     string `json:"name"`
	MemoryMB int64  `json:"memoryMB"`
	Ready    bool   `json:"ready"`
	Running  int    `json:"running"`
}

// Report is an endpoint's account of itself at ObservedAt.
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

// OrderState is what an endpoint has made of an order.
type OrderState string

// States of an order at an endpoint.
const (
	OrderRunning OrderState = "running"
	OrderDone    OrderState = "done"
	OrderRefused OrderState = "refused"
)

// OrderOp is what an order asks for.
type OrderOp string

// Operations of orders.
const (
	OpLoad   OrderOp = "load"
	OpUnload OrderOp = "unload"
	// OpFence only raises the endpoint's epoch.
	OpFence OrderOp = "fence"
)

// Order asks an endpoint to change what it holds.
type Order struct {
	ID       string  `json:"id"`
	Epoch    int64   `json:"epoch"`
	Op       OrderOp `json:"op"`
	Unit     string  `json:"unit,omitempty"`
	MemoryMB int64   `json:"memoryMB,omitempty"`
}

// maxReportBytes bounds an endpoint's report.
const maxReportBytes = 1 << 20

// Load returns the endpoint's lagging report of its load.
func (c *Client) Load(ctx context.Context, endpoint, address string) (Report, error) {
	return c.report(ctx, endpoint, address, "/v1/load")
}

// Inventory returns what the endpoint holds now and the fate of its orders.
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

// SendOrder delivers an order. A nil error means that the endpoint has taken it;
// *RefusedOrderError that it never will; any other error that it may yet.
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

// RefusedOrderError is an endpoint's refusal of an order with an old epoch.
type RefusedOrderError struct {
	Endpoint string
	Order    Order
}

// Error names the endpoint and the order.
func (e *RefusedOrderError) Error() string {
	return "endpoint " + e.Endpoint + " refused order " + e.Order.ID + ": old epoch"
}
