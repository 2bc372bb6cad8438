package hosted

import (
	"cmp"
	"net"
	"net/http"
	"net/netip"
	"syscall"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rotisserie/eris"

	"oleandervane.example"
	"oleandervane.example/entry/account"
	"oleandervane.example/entry/ingress"
	"oleandervane.example/entryvm/webserver"
)

// defaultDescriptors is assumed if the limit of the process is not known. It is the least of all installations.
const defaultDescriptors = 2870

// maxDescriptors bounds the limit that is used, because some systems set none.
const maxDescriptors = 1 << 20

// descriptorLimit returns the number of descriptors that the process may open.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

// setHeaderLimits puts the limits of a configuration in force. Those that it does not set have defaults.
func (entryVM *EntryVM) setHeaderLimits(limits oleandervane.CallerLimits) {
	headerLimits := webserver.DefaultHeaderLimits()
	headerLimits.Bytes = cmp.Or(max(int64(limits.HeaderBytes), 0), headerLimits.Bytes)
	headerLimits.Timeout = cmp.Or(max(limits.HeaderTimeout, 0), headerLimits.Timeout)
	entryVM.headerLimits.Store(&headerLimits)
}

func (entryVM *EntryVM) guardListener(listener net.Listener, kind account.Listener) *webserver.GuardListener {
	return webserver.NewGuardListener(listener, kind, entryVM.account, &entryVM.headerLimits)
}

// smallServer returns a server whose requests and responses are small.
func (entryVM *EntryVM) smallServer(address netip.AddrPort, kind account.Listener, handler http.Handler) (*khttp.Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, eris.Wrapf(err, "listening for requests of the %s", kind)
	}
	server := webserver.NewGuarded(entryVM.guardListener(listener, kind), handler, nil)
	server.ReadTimeout, server.WriteTimeout, server.IdleTimeout = smallRequestTimeout, smallRequestTimeout, smallIdleTimeout
	return server, nil
}

// limitedHandler refuses requests for which the account has no room.
type limitedHandler struct {
	*ingress.Handler
	account *account.Account
}

// ServeHTTP serves a request, or refuses it before anything of it has run.
func (limitedHandler limitedHandler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	end := limitedHandler.account.BeginRequest()
	if end == nil {
		limitedHandler.RefuseBusy(writer, request)
		return
	}
	defer end()
	limitedHandler.Handler.ServeHTTP(writer, request)
}
