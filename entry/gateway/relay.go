package gateway

import (
	"cmp"
	"context"
	"encoding/binary"
	"net/http"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"oleandervane.example"
	"oleandervane.example/entry/forward"
)

// relay sends the request to an entry VM of another region, which makes the final decision for the load of that region.
func (exchange *exchange) relay(ctx context.Context, region oleandervane.Region) forward.Result {
	dependencies := exchange.gateway.dependencies
	candidates := relayCandidates(dependencies.Membership, region, exchange.start.UnixNano())
	request := exchange.forwardRequest()
	request.Header = request.Header.Clone()
	request.Header.Set(oleandervane.HeaderHomeRegion, string(exchange.home))
	prefix := RelayPrefix + string(dependencies.Membership.Self().Region) + "/" + string(exchange.service) + "/" + string(exchange.kind.Name)
	return dependencies.Forwarder.Forward(ctx, request, forward.RelayVMs(candidates, prefix))
}

// relayCandidates returns the live entry VMs of a region in an order that differs from request to request, so that the
// load on them is even.
func relayCandidates(membership oleandervane.Membership, region oleandervane.Region, salt int64) []oleandervane.EntryVM {
	var candidates []oleandervane.EntryVM
	for _, entryVM := range membership.EntryVMs() {
		if entryVM.Region == region && entryVM.State == oleandervane.VMAlive {
			candidates = append(candidates, entryVM)
		}
	}
	slices.SortFunc(candidates, func(a, b oleandervane.EntryVM) int {
		return cmp.Compare(score(a.ID, salt), score(b.ID, salt))
	})
	return candidates
}

func score(vmID oleandervane.VMID, salt int64) uint64 {
	bytes := make([]byte, 0, 64)
	bytes = binary.LittleEndian.AppendUint64(bytes, uint64(salt))
	return xxhash.Sum64(append(bytes, vmID...))
}

// serveRelay serves a request that an entry VM of another region received from its caller. The request is either served
// in this region or refused; it is never relayed again.
func (gateway *Gateway) serveRelay(writer http.ResponseWriter, request *http.Request) {
	defer gateway.inFlight.enter()()
	prefix, ok := relayPrefixOf(request)
	if !ok {
		refuse(http.StatusNotFound, oleandervane.NotRun, "bad_path", "the path must be "+RelayPrefix+"<source region>/<service>/<kind>/<path>").write(writer)
		return
	}
	exchange, refusal := gateway.newExchange(writer, request, prefix)
	if refusal != nil {
		refusal.write(writer)
		return
	}
	exchange.relayed = true
	exchange.home = oleandervane.Region(request.Header.Get(oleandervane.HeaderHomeRegion))
	if !gateway.dependencies.Grants.TryAdmit(exchange.start, exchange.service, exchange.home) {
		refuseByOutcome(oleandervane.NotRun, "no_grant", "this VM has no room left for callers of region "+string(exchange.home)).write(writer)
		return
	}
	exchange.serveRelayed()
}

func (exchange *exchange) serveRelayed() {
	ctx, cancel := exchange.gateway.contextUntil(exchange.request.Context(), exchange.deadline)
	defer cancel()
	defer exchange.endAdmission()
	exchange.respond(exchange.forwardLocally(ctx), exchange.gateway.dependencies.Membership.Self().Region)
}

// relayPrefixOf returns "/v1/relay/<source region>/", the part of the path before the service.
func relayPrefixOf(request *http.Request) (prefix string, ok bool) {
	rest, found := strings.CutPrefix(request.URL.EscapedPath(), RelayPrefix)
	if !found {
		return "", false
	}
	source, _, found := strings.Cut(rest, "/")
	return RelayPrefix + source + "/", found && source != ""
}
