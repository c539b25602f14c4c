// Package config defines the configuration document, the patches that change it, and its validation.
//
// The package is pure: it does no I/O, reads no clock and starts no goroutines. Apply returns a new document and leaves its
// argument unchanged.
package config

import (
	"github.com/redwingthread/redwingthread/resource"
)

// RuleSet is the version of the validation rules that this program implements. The program cannot apply a configuration
// record with a higher rule set number.
const RuleSet = 1

// Document is the complete configuration at one version. Each map holds its items by name or id.
type Document struct {
	// Version counts accepted patches; the initialise record creates version 0.
	Version        uint64                     `json:"version" cbor:"version"`
	FailureDomains map[string]FailureDomain   `json:"failure_domains" cbor:"failure_domains"`
	Workers        map[string]resource.Worker `json:"workers" cbor:"workers"`
	Accounts       map[string]Account         `json:"accounts" cbor:"accounts"`
	Services       map[string]Service         `json:"services" cbor:"services"`
	Operators      map[string]Operator        `json:"operators" cbor:"operators"`
	// Drains holds the requests to drain a VM or worker, by the id of the VM or worker.
	Drains map[string]Drain `json:"drains" cbor:"drains"`
	Policy Policy           `json:"policy" cbor:"policy"`
}

// FailureDomain is a part of a region that fails as a unit.
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
	// Quota is the largest number of accelerators that the account may use in one failure domain, including borrowed
	// ones; 0 means no limit.
	Quota int `json:"quota,omitempty" cbor:"quota,omitempty"`
	// RetryBudgetPercent limits retries to this percentage of first attempts; 0 means the default.
	RetryBudgetPercent int `json:"retry_budget_percent,omitempty" cbor:"retry_budget_percent,omitempty"`
}

// Guarantee reserves capacity for Count copies of Shape for an account in one failure domain.
type Guarantee struct {
	FailureDomain string         `json:"failure_domain" cbor:"failure_domain"`
	Shape         resource.Shape `json:"shape" cbor:"shape"`
	Count         int            `json:"count" cbor:"count"`
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string `json:"name" cbor:"name"`
	// TimeoutMS is the timeout of one request to an endpoint, in milliseconds.
	TimeoutMS int64 `json:"timeout_ms" cbor:"timeout_ms"`
	// MaxBodyBytes limits the size of a request body and of a buffered response body, in bytes.
	MaxBodyBytes int64               `json:"max_body_bytes" cbor:"max_body_bytes"`
	Endpoints    map[string]Endpoint `json:"endpoints" cbor:"endpoints"`
}

// Endpoint is one instance of a service.
type Endpoint struct {
	ID            string `json:"id" cbor:"id"`
	FailureDomain string `json:"failure_domain" cbor:"failure_domain"`
	// Address is the host:port of the endpoint's HTTP service.
	Address string `json:"address" cbor:"address"`
	// Slots is the number of requests that the endpoint processes concurrently.
	Slots int `json:"slots" cbor:"slots"`
	// MaxConnections is the number of connections that the endpoint accepts from all gateways combined.
	MaxConnections int `json:"max_connections" cbor:"max_connections"`
}

// Operator is a person who may change the configuration.
type Operator struct {
	Name string `json:"name" cbor:"name"`
	// TokenDigest is the lower-case hex SHA-256 digest of the operator's bearer token.
	TokenDigest string `json:"token_digest" cbor:"token_digest"`
}

// Drain requests that a VM or worker be drained.
type Drain struct {
	// VM is the id of the VM or worker.
	VM     string `json:"vm" cbor:"vm"`
	Reason string `json:"reason" cbor:"reason"`
}

// Policy holds the settings that apply to all processes.
type Policy struct {
	// FragmentationWeight is the weight of fragmentation relative to completion time, from 0 (completion time only) to 1.
	FragmentationWeight float64 `json:"fragmentation_weight" cbor:"fragmentation_weight"`
	// ReclaimBoundMS is the longest time from the claim of a guaranteed shape to its start, in milliseconds.
	ReclaimBoundMS int64 `json:"reclaim_bound_ms" cbor:"reclaim_bound_ms"`
	// MaxWaitMS is the time after which a blocked gang gets a reservation, in milliseconds.
	MaxWaitMS int64 `json:"max_wait_ms" cbor:"max_wait_ms"`
	// GatewaySeats is the number of gateways among which the connections of an endpoint are divided.
	GatewaySeats int `json:"gateway_seats" cbor:"gateway_seats"`
	// QuarantinePercent is the largest percentage of a failure domain's workers that may be in quarantine.
	QuarantinePercent int `json:"quarantine_percent" cbor:"quarantine_percent"`
	// EjectPercent is the largest percentage of a service's endpoints that may be ejected.
	EjectPercent int `json:"eject_percent" cbor:"eject_percent"`
	// StandardLargeShape is the shape against which fragmentation is measured.
	StandardLargeShape resource.Shape `json:"standard_large_shape" cbor:"standard_large_shape"`
}
