// Package quarantine decides which requests are kept from backend servers because servers
// crash while they run them.
package quarantine
