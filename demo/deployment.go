package demo

import (
	"time"

	"github.com/eiderspring/eiderspring/examples"
)

// Deployment is a deployment that the demo can run.
type Deployment struct {
	Name     string
	Settings []byte
	Token    string
	// Rate is the mean number of requests per second.
	Rate float64
	Mix  []RequestKind
}

// RequestKind is a kind of request in a deployment's mix. Kinds are drawn in
// proportion to their weights.
type RequestKind struct {
	// Name is the service; empty means any model or adapter, drawn from a Zipf
	// distribution.
	Name   string
	Weight float64
	Plain  bool
	// Keyed requests have an idempotency key, and some of them are sent twice.
	Keyed bool
	// MinTokens and MaxTokens bound the length of the response.
	MinTokens, MaxTokens int
	// PromptBytes is the approximate length of the prompt.
	PromptBytes int
}

// Latencies and limits of the stand-ins.
const (
	stepBase         = 12 * time.Millisecond
	stepPerSequence  = 300 * time.Microsecond
	prefillPerToken  = 100 * time.Microsecond
	serviceLatency   = 5 * time.Millisecond
	loadLag          = 500 * time.Millisecond
	listLag          = 500 * time.Millisecond
	engineQueueLimit = 32
)

// Deployments returns the deployments that the demo can run, by name.
func Deployments() map[string]Deployment {
	return map[string]Deployment{
		"tideline": {
			Name: "tideline", Settings: examples.Tideline, Token: "tideline-demo-token", Rate: 60,
			Mix: []RequestKind{
				{Weight: 0.35, MinTokens: 16, MaxTokens: 64, PromptBytes: 800},
				{Name: "day-ahead-summary", Weight: 0.1, MinTokens: 32, MaxTokens: 64, PromptBytes: 1200},
				{Name: "offer-confirmation", Weight: 0.2, Plain: true, Keyed: true, PromptBytes: 200},
				{Name: "price-ping", Weight: 0.25, Plain: true, PromptBytes: 64},
				{Name: "settlement-narrative", Weight: 0.05, MinTokens: 48, MaxTokens: 128, PromptBytes: 2000},
				{Name: "bid-review", Weight: 0.05, MinTokens: 64, MaxTokens: 192, PromptBytes: 3000},
			},
		},
		"liege": {
			Name: "liege", Settings: examples.Liege, Token: "liege-demo-token", Rate: 50,
			Mix: []RequestKind{
				{Weight: 0.4, MinTokens: 16, MaxTokens: 64, PromptBytes: 800},
				{Name: "fingering", Weight: 0.1, MinTokens: 24, MaxTokens: 64, PromptBytes: 1000},
				{Name: "page-preview", Weight: 0.3, Plain: true, PromptBytes: 128},
				{Name: "edition-release", Weight: 0.1, Plain: true, Keyed: true, PromptBytes: 400},
				{Name: "layout", Weight: 0.05, MinTokens: 32, MaxTokens: 96, PromptBytes: 2000},
				{Name: "part-extraction", Weight: 0.05, MinTokens: 64, MaxTokens: 192, PromptBytes: 3000},
			},
		},
	}
}
