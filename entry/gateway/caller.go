package gateway

import (
	"net/http"
	"net/netip"
	"strings"
)

const (
	requestPrefix = "/v1/request/"
	// RelayPrefix is the path prefix of relayed requests.
	RelayPrefix = "/v1/relay/"
)

// PrefixHandler passes requests whose path has the prefix to matched and all others to rest.
func PrefixHandler(prefix string, matched, rest http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.EscapedPath(), prefix) {
			matched.ServeHTTP(writer, request)
			return
		}
		rest.ServeHTTP(writer, request)
	})
}

// callerAddress returns the address of the caller, or an invalid address if the connection has none.
func (gateway *Gateway) callerAddress(request *http.Request) netip.Addr {
	if gateway.settings.TrustCallerAddressHeader {
		first, _, _ := strings.Cut(request.Header.Get("X-Forwarded-For"), ",")
		if address, err := netip.ParseAddr(strings.TrimSpace(first)); err == nil {
			return address.Unmap()
		}
	}
	addressPort, err := netip.ParseAddrPort(request.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return addressPort.Addr().Unmap()
}
