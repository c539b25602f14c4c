// Package config defines the configuration document, the patches that change it, and its validation.
//
// The package is pure: it has no I/O, clock or goroutines. Documents are values; Apply returns a new document and leaves
// its argument unchanged.
package config

import (
	"github.com/redwingthread/redwingthread/resource"
)

// RuleSet is the number of the validation rules that this program applies. A record with a higher number cannot be
// folded by this program.
const RuleSet = 1

// Document is the whole configuration at one version.
type Document struct {
	// Version counts accepted patches; the initialise record makes version 0.
	Version        uint64                     `json:"version" cbor:"version"`
	FailureDomains map[string]FailureDomain   `json:"failure_domains" cbor:"failure_domains"`
	Workers        map[string]resource.Worker `json:"workers" cbor:"workers"`
	Accounts       map[string]Account         `json:"accounts" cbor:"accounts"`
	Services       map[string]Service         `json:"services" cbor:"services"`
	Operators      map[string]Operator        `json:"operators" cbor:"operators"`
	// Drains holds the VMs and workers to be emptied, by id.
	Drains map[string]Drain `json:"drains" cbor:"drains"`
	Policy Policy           `json:"policy" cbor:"policy"`
}

// FailureDomain is a part of a region that fails as one.
type FailureDomain struct {
	Name   string `json:"name" cbor:"name"`
	Region string `json:"region" cbor:"region"`
}

// Account is a client account.
type Account struct {
	Name string `json:"name" cbor:"name"`
	// TokenDigest is the lower-case hex SHA-256 digest of the account's bearer token.
	TokenDigest string `json:"token_digest" cbor:"token_digest"`
	// Weight is the account's share of the request queues, 1 or more.
	Weight     int         `json:"weight" cbor:"weight"`
	Guarantees []Guarantee `json:"guarantees,omitempty" cbor:"guarantees,omitempty"`
	// Quota bounds the accelerators that the account uses in one failure domain, borrowed ones included; 0 for no bound.
	Quota int `json:"quota,omitempty" cbor:"quota,omitempty"`
	// RetryBudgetPercent bounds retries as a share of first attempts; 0 for the default.
	RetryBudgetPercent int `json:"retry_budget_percent,omitempty" cbor:"retry_budget_percent,omitempty"`
}

// Guarantee promises Count copies of Shape to an account in one failure domain.
type Guarantee struct {
	FailureDomain string         `json:"failure_domain" cbor:"failure_domain"`
	Shape         resource.Shape `json:"shape" cbor:"shape"`
	Count         int            `json:"count" cbor:"count"`
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string `json:"name" cbor:"name"`
	// TimeoutMS bounds one exchange with an endpoint in milliseconds.
	TimeoutMS int64 `json:"timeout_ms" cbor:"timeout_ms"`
	// MaxBodyBytes bounds request and buffered response bodies.
	MaxBodyBytes int64               `json:"max_body_bytes" cbor:"max_body_bytes"`
	Endpoints    map[string]Endpoint `json:"endpoints" cbor:"endpoints"`
}

// Endpoint is one instance of a service.
type Endpoint struct {
	ID            string `json:"id" cbor:"id"`
	FailureDomain string `json:"failure_domain" cbor:"failure_domain"`
	// Address is the host:port of the endpoint's HTTP service.
	Address string `json:"address" cbor:"address"`
	// Slots is the number of requests that the endpoint runs at once.
	Slots int `json:"slots" cbor:"slots"`
	// MaxConnections is the number of connections that the endpoint accepts from all gateways together.
	MaxConnections int `json:"max_connections" cbor:"max_connections"`
}

// Operator is a person who may change the configuration.
type Operator struct {
	Name string `json:"name" cbor:"name"`
	// TokenDigest is the lower-case hex SHA-256 digest of the operator's bearer token.
	TokenDigest string `json:"token_digest" cbor:"token_digest"`
}

// Drain asks for a VM or worker to be emptied.
type Drain struct {
	VM     string `json:"vm" cbor:"vm"`
	Reason string `json:"reason" cbor:"reason"`
}

// Policy holds the settings that all processes share.
type Policy struct {
	// FragmentationWeight weighs fragmentation against completion time, 0 (completion time only) to 1.
	FragmentationWeight float64 `json:"fragmentation_weight" cbor:"fragmentation_weight"`
	// ReclaimBoundMS bounds the time from the claim of a guaranteed shape to its start, in milliseconds.
	ReclaimBoundMS int64 `json:"reclaim_bound_ms" cbor:"reclaim_bound_ms"`
	// MaxWaitMS is the wait after which a blocked gang gets a reservation, in milliseconds.
	MaxWaitMS int64 `json:"max_wait_ms" cbor:"max_wait_ms"`
	// GatewaySeats is the number of gateways among which the connections of an endpoint are divided.
	GatewaySeats int `json:"gateway_seats" cbor:"gateway_seats"`
	// QuarantinePercent bounds the share of workers of a failure domain in quarantine.
	QuarantinePercent int `json:"quarantine_percent" cbor:"quarantine_percent"`
	// EjectPercent bounds the share of a service's endpoints that are ejected.
	EjectPercent int `json:"eject_percent" cbor:"eject_percent"`
	// StandardLargeShape is the shape against which fragmentation is measured.
	StandardLargeShape resource.Shape `json:"standard_large_shape" cbor:"standard_large_shape"`
}
