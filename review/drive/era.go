//go:build review

package main

import (
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
)

const eraHeader = "Store-Era"

// countErasFromZero puts a relay in front of the store that names its first era 0 in place of 1. It must be called before
// the first gateway is added.
func (d *deployment) countErasFromZero() {
	relay := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: d.storeAddress.String()})
	relay.ModifyResponse = func(response *http.Response) error {
		era, err := strconv.ParseUint(response.Header.Get(eraHeader), 10, 64)
		if err != nil {
			return err
		}
		response.Header.Set(eraHeader, strconv.FormatUint(era-1, 10))
		return nil
	}
	listener := listen()
	d.storeAddress = addressOf(listener)
	go func() { _ = http.Serve(listener, relay) }()
}
