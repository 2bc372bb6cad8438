// Package loopback finds free loopback addresses for processes that listen on addresses from their settings.
package loopback
