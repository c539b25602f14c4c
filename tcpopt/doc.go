// Package tcpopt sets socket options that package net does not offer.
package tcpopt
